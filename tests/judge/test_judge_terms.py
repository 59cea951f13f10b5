"""The judge allows what the operators' terms allow, and no more: each breach just beyond a term is told by
its name, and what is just inside passes."""

import pytest

from gaproute.judge import UNTIMED, Kind, judge, kill_after
from tests.judge.test_judge import FACTS, MILLI, SECOND, UP, end, gateway_events, said, task, told


def kinds(hosts=None, clients=(), run=(), facts=FACTS):
    """Names of what is broken on a day of warm hosts."""
    hosts = {name: [[dict(UP, warm=True), *events]] for name, events in (hosts or {}).items()}
    return [broken.kind for broken in judge(facts, hosts, list(clients), list(run))]


# A client that has gone


@pytest.mark.parametrize("what", ["left", "overdue"])
@pytest.mark.parametrize("after, found", [(100, []), (101, [Kind.AFTER_CLIENT])])
def test_an_attempt_begins_no_later_than_a_tenth_of_a_second_after_its_client_has_gone(what, after, found):
    stopped = gateway_events((500, "stopped"), (1000, "continued"))  # so that what is overdue is explained
    assert kinds({"h1": [task(1000 + after)]}, [end(1000, what)], stopped) == found


@pytest.mark.parametrize(
    "run",
    [
        [(900, "stopped"), (1400, "continued")],  # a long turn
        [(900, "ending"), (4700, "ended")],
        [(900, "ending"), (4700, "killed"), (4900, "started")],
        [(1100, "killed"), (1300, "started")],
    ],
)
def test_no_trouble_of_its_gateway_frees_an_attempt_for_a_client_that_has_gone(run):
    left = end(1000, "left", track="e")
    assert kinds({"h1": [task(1300, track="e")]}, [left], gateway_events(*run)) == [Kind.AFTER_CLIENT]


def test_a_retry_and_a_second_copy_for_a_client_that_has_gone_are_told_each():
    hosts = {"h1": [task(900), said(950, 429), task(1150)], "h2": [task(1300)]}
    assert kinds(hosts, [end(1000, "left")]) == [Kind.AFTER_CLIENT] * 2


def test_nothing_is_sent_after_the_final_answer_but_what_is_on_its_way():
    assert kinds({"h1": [task(60)]}, [end(0)]) == []
    assert kinds({"h1": [task(61)]}, [end(0)]) == [Kind.AFTER_END]


def test_a_harness_that_was_late_allows_as_much_as_it_measured_and_no_more():
    late = FACTS._replace(late=30 * MILLI)
    assert kinds({"h1": [task(1130)]}, [end(1000, "left")], facts=late) == []
    assert kinds({"h1": [task(1131)]}, [end(1000, "left")], facts=late) == [Kind.AFTER_CLIENT]
    assert kinds({"h1": [task(590)]}, run=[told(0, "gone")], facts=late) == []
    assert kinds({"h1": [task(591)]}, run=[told(0, "gone")], facts=late) == [Kind.DRAIN]


# The final answer


def fault_at_hosts(at):
    """All that may be wrong beside the gateway itself at that time."""
    wire = {
        "what": "fault",
        "kind": "cut",
        "id": "f1",
        "late": 3000 * MILLI,
        "slack": 500 * MILLI,
        "ways": [[[0], ["h1"]], [[0], ["h2"]]],
    }
    return [
        {"at": 0, "what": "trouble", "name": "hang", "lasts": 9 * SECOND},
        {"at": 0, "what": "trouble", "name": "burst", "lasts": 9 * SECOND},
        wire | {"at": 0, "on": True},
        wire | {"at": 9 * SECOND, "on": False},
        {"at": at, "what": "stopped", "gateway": 1},  # another gateway
    ]


@pytest.mark.parametrize("what", ["overdue", "broken"])
def test_trouble_at_hosts_on_the_wire_or_at_other_gateways_frees_no_request_of_its_answer(what):
    hosts = {"h1": [task(10), {"at": 20 * MILLI, "what": "cut", "id": "t"}], "h2": [task(500)]}
    assert kinds(hosts, [end(1000, what)], fault_at_hosts(900 * MILLI)) == [Kind.LOST]


def test_an_answer_that_is_due_while_its_gateway_stands_still_may_come_half_a_second_late():
    run = gateway_events((800, "stopped"), (2000, "continued"))
    for at, found in ((799, [Kind.LOST]), (800, []), (2000, []), (2500, []), (2501, [Kind.LOST])):
        assert kinds({}, [end(at, "overdue")], run) == found


def test_a_gateway_that_stands_still_closes_no_connection():
    run = gateway_events((800, "stopped"), (2000, "continued"))
    assert kinds({}, [end(1000, "broken")], run) == [Kind.LOST]


@pytest.mark.parametrize("run", [[], [(900, "ending"), (2000, "ended")], [(900, "ending"), (999, "ended")]])
def test_a_request_whose_connection_is_closed_without_an_answer_is_lost_also_after_a_sigterm(run):
    assert kinds({}, [end(1000, "broken", asked=990 * MILLI)], gateway_events(*run)) == [Kind.LOST]


def test_a_kill_without_a_warning_explains_what_it_took_and_nothing_else():
    run = gateway_events((1000, "killed"), (1500, "started"))

    def lost(what, asked, at):
        return kinds({}, [end(at, what, asked=asked * MILLI)], run)

    assert lost("broken", 900, 1001) == lost("broken", 1200, 1201) == []
    assert lost("broken", 900, 999) == [Kind.LOST]  # closed before
    assert lost("overdue", 0, 999) == [Kind.LOST]  # due before
    assert lost("broken", 1501, 1510) == [Kind.LOST]  # a new life
    assert lost("broken", 900, 1501) == [Kind.LOST]


@pytest.mark.parametrize("longest, after", [(300, 1000), (2000, 2700), (3000, 3700), (6000, 3700)])
def test_a_kill_after_a_sigterm_comes_no_sooner_than_the_longest_deadline_and_0_7_s(longest, after):
    assert kill_after(longest * MILLI) == after * MILLI


def test_a_kill_after_a_sigterm_explains_only_what_came_just_before_it_and_only_in_its_time():
    facts = FACTS._replace(longest=300 * MILLI)

    def lost(asked, killed=2000, what="killed"):
        run = gateway_events((1000, "ending"), (killed, what), (killed + 500, "started"))
        return kinds({}, [end(killed + 1, "broken", asked=asked * MILLI)], run, facts)

    assert lost(1900) == lost(1999) == []
    assert lost(1899) == [Kind.LOST]  # it could have been answered before
    assert lost(900) == [Kind.LOST]  # held when it was asked to end
    assert lost(1995, killed=1999) == [Kind.LOST]  # killed too early
    assert lost(1999, what="ended") == [Kind.LOST]  # it ended by itself: nobody killed it


def test_a_second_answer_and_one_that_names_no_outcome_are_told_though_hosts_are_in_trouble():
    run = fault_at_hosts(0)
    assert kinds({}, [end(10), end(20)], run) == [Kind.SECOND_ANSWER]
    assert kinds({}, [end(10, outcome="", status=502)], run) == [Kind.NO_OUTCOME]


# The deadline passed on


def limited(at, limit, name="t"):
    return dict(task(at, name), limit=limit * MILLI)


@pytest.mark.parametrize(
    "at, limit, found",
    [
        (0, 1150, []),  # the client has 1000 ms from 0 on
        (0, 1151, [Kind.DEADLINE]),
        (900, 250, []),
        (900, 251, [Kind.DEADLINE]),
        (600, 1000, [Kind.DEADLINE]),  # told anew in full after a slow dial, or written in two parts
    ],
)
def test_the_deadline_told_to_a_host_is_what_the_client_has_left_and_0_15_s(at, limit, found):
    assert kinds({"h1": [limited(at, limit)]}, [end(1000)]) == found


def test_each_retry_and_each_second_copy_is_told_what_is_left_then():
    hosts = {"h1": [limited(10, 990), said(300, 429)], "h2": [limited(310, 990)]}
    assert kinds(hosts, [end(1000)]) == [Kind.DEADLINE]
    assert kinds({"h1": [limited(10, 990)], "h2": [limited(310, 690)]}, [end(1000)]) == []


def test_the_deadline_told_after_a_stall_is_judged_by_the_client_s_clock():
    run = gateway_events((100, "stopped"), (900, "continued"))
    assert kinds({"h1": [limited(901, 899)]}, [end(1000)], run) == [Kind.DEADLINE]
    assert kinds({"h1": [limited(901, 99)]}, [end(1000)], run) == []


def test_what_a_fault_kept_on_its_way_was_told_what_was_left_when_it_was_sent():
    def held(late):
        wire = {"what": "fault", "id": "f1", "late": late * MILLI, "slack": 0, "ways": [[[0], ["h1"]]]}
        return [wire | {"at": 0, "on": True}, wire | {"at": 5 * SECOND, "on": False}]

    assert kinds({"h1": [limited(600, 900)]}, [end(1000)], held(400)) == []
    assert kinds({"h1": [limited(600, 900)]}, [end(1000)], held(300)) == [Kind.DEADLINE]


# A host in slow start


def cold_day(*lives):
    """What is broken at one host of 2 cores at a half, of which 20 tasks of 0.1 s fill the time that tips it:
    `lives`: for each start of it, when tasks come, ms, by gateway in turn."""
    runs, ends = [], []
    for life, times in enumerate(lives):
        begin = 100 * life * SECOND
        names = [f"t{life}-{place}" for place in range(len(times))]
        arrivals = [
            task(at, name, work=100 * MILLI) | {"at": begin + at * MILLI}
            for at, name in zip(times, names, strict=True)
        ]
        runs.append([dict(UP, at=begin), *arrivals])
        ends += [
            end(0, name=name) | {"at": each["at"], "asked": begin, "gateway": place % 3}
            for place, (name, each) in enumerate(zip(names, arrivals, strict=True))
        ]
    return [broken.kind for broken in judge(FACTS, {"h1": runs}, ends, [])]


def test_the_budget_of_a_host_in_slow_start_is_that_of_all_gateways_together():
    assert cold_day([0] * 20) == []
    assert cold_day([0] * 21) == [Kind.SLOW_START]  # seven by each of three gateways


def test_the_budget_holds_in_any_window_and_grows_with_the_host():
    assert cold_day([0] * 20 + [1001] * 21) == []
    assert cold_day([0] * 20 + [1001] * 24) == [Kind.SLOW_START]
    assert cold_day([500] * 12 + [1400] * 12) == [Kind.SLOW_START]


def test_a_host_that_is_cold_twice_in_a_row_has_a_budget_in_each_life():
    assert cold_day([0] * 20, [0] * 20) == []
    assert cold_day([0] * 20, [0] * 21) == [Kind.SLOW_START]
    assert cold_day([0] * 21, [0] * 21) == [Kind.SLOW_START] * 2


def test_a_gateway_that_has_started_anew_has_no_budget_of_its_own():
    tasks = [task(10 * place, f"t{place}", work=100 * MILLI) for place in range(21)]
    ends = [end(500, name=f"t{place}") for place in range(21)]
    run = gateway_events((100, "killed"), (105, "started"))
    assert [broken.kind for broken in judge(FACTS, {"h1": [[UP, *tasks]]}, ends, run)] == [Kind.SLOW_START]


# What a late harness hides


def test_what_was_sent_or_answered_twice_rests_on_no_time():
    assert {Kind.DUPLICATE, Kind.SECOND_ANSWER, Kind.STRAY, Kind.REFUSED} <= UNTIMED
    assert not UNTIMED & {Kind.LOST, Kind.AFTER_CLIENT, Kind.DEADLINE, Kind.DRAIN, Kind.SLOW_START}


@pytest.mark.parametrize(
    "hosts, clients, found",
    [
        ({"h1": [task(1, track="e")], "h2": [task(50, track="e")]}, [], Kind.DUPLICATE),
        ({"h1": [task(1, track="r")], "h3": [task(2061, track="r")]}, [], Kind.WINDOW),
        ({"h1": [task(1, track="r")], "h2": [task(50, track="r")]}, [], Kind.GROUP),
        ({"h1": [task(1, track="r")], "h3": [task(50, track="r", mark="x")]}, [], Kind.KEY),
        (
            {"h1": [task(1, track="e")]},
            [end(60, outcome="declined", track="e", status=503)],
            Kind.REFUSED,
        ),
        ({}, [{"at": 5, "what": "stray", "gateway": 0}], Kind.STRAY),
    ],
)
def test_each_breach_is_told_by_its_name(hosts, clients, found):
    assert kinds(hosts, clients) == ([found] if found is not Kind.WINDOW else [])
    if found is Kind.WINDOW:
        assert kinds({"h1": [task(1, track="r")], "h3": [task(2062, track="r")]}) == [found]
