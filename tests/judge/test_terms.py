"""The judge allows what the operators' terms allow, and no more: each violation just beyond a term is
reported by its kind, and what is just inside passes."""

import pytest

from gaproute.judge import TIME_INDEPENDENT, ViolationKind, judge, kill_after
from tests.judge.test_judge import MILLI, SECOND, TERMS, UP, answered, end, gateway_events, notified, task


def kinds(hosts=None, clients=(), run=(), terms=TERMS):
    """Kinds of violations on a day of warm hosts."""
    hosts = {name: [[dict(UP, warm=True), *events]] for name, events in (hosts or {}).items()}
    return [violation.kind for violation in judge(terms, hosts, list(clients), list(run))]


# A client that has gone


@pytest.mark.parametrize("what", ["left", "overdue"])
@pytest.mark.parametrize(("after", "found"), [(100, []), (101, [ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT])])
def test_an_attempt_begins_no_later_than_a_tenth_of_a_second_after_its_client_has_left(what, after, found):
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
def test_no_fault_of_its_gateway_allows_an_attempt_for_a_client_that_has_left(run):
    left = end(1000, "left", track="e")
    assert kinds({"h1": [task(1300, track="e")]}, [left], gateway_events(*run)) == [
        ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT
    ]


def test_a_retry_and_a_hedged_request_for_a_client_that_has_left_are_each_reported():
    hosts = {"h1": [task(900), answered(950, 429), task(1150)], "h2": [task(1300)]}
    assert kinds(hosts, [end(1000, "left")]) == [ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT] * 2


def test_nothing_is_sent_after_the_final_answer_but_what_is_on_its_way():
    assert kinds({"h1": [task(60)]}, [end(0)]) == []
    assert kinds({"h1": [task(61)]}, [end(0)]) == [ViolationKind.ATTEMPT_AFTER_ANSWER]


def test_a_harness_that_was_late_allows_as_much_as_it_measured_and_no_more():
    late = TERMS._replace(harness_lateness=30 * MILLI)
    assert kinds({"h1": [task(1130)]}, [end(1000, "left")], terms=late) == []
    assert kinds({"h1": [task(1131)]}, [end(1000, "left")], terms=late) == [
        ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT
    ]
    assert kinds({"h1": [task(590)]}, run=[notified(0, "gone")], terms=late) == []
    assert kinds({"h1": [task(591)]}, run=[notified(0, "gone")], terms=late) == [ViolationKind.DRAIN]


# The final answer


def faults_elsewhere(at):
    """All faults that may be there beside the gateway's own at that time."""
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
def test_faults_at_hosts_on_links_or_at_other_gateways_frees_no_request_of_its_answer(what):
    hosts = {"h1": [task(10), {"at": 20 * MILLI, "what": "cut", "id": "t"}], "h2": [task(500)]}
    assert kinds(hosts, [end(1000, what)], faults_elsewhere(900 * MILLI)) == [ViolationKind.LOST]


def test_an_answer_that_is_due_while_its_gateway_is_paused_may_come_half_a_second_late():
    run = gateway_events((800, "stopped"), (2000, "continued"))
    for at, found in (
        (799, [ViolationKind.LOST]),
        (800, []),
        (2000, []),
        (2500, []),
        (2501, [ViolationKind.LOST]),
    ):
        assert kinds({}, [end(at, "overdue")], run) == found


def late_answer(by, **fields):
    """The end of a request whose answer was due at 1000 ms and came `by` ms later."""
    return end(1000 + by, "answered late", **fields) | {"due": SECOND}


def cpu_wait(since, at, by, gateway=0):
    """A gateway, or the clients where it is None, waited for a core for `by` ms of that time."""
    whose = {} if gateway is None else {"gateway": gateway}
    return {"at": at * MILLI, "what": "cpu wait", "since": since * MILLI, "by": by * MILLI} | whose


def test_an_answer_after_its_deadline_is_lost_where_the_machine_had_a_core_for_its_gateway():
    assert kinds({}, [late_answer(1)]) == [ViolationKind.LOST]
    assert kinds({}, [late_answer(1)], [cpu_wait(980, 1000, 0)]) == [ViolationKind.LOST]


@pytest.mark.parametrize(
    ("waits", "allowed"),
    [
        ([cpu_wait(980, 1000, 15)], 15),
        ([cpu_wait(980, 1000, 15), cpu_wait(1000, 1020, 5), cpu_wait(1000, 1020, 4, None)], 24),
        ([cpu_wait(900, 1020, 30)], 30),
        ([cpu_wait(880, 900, 15)], 0),  # long before the deadline
        ([cpu_wait(980, 1000, 15, gateway=1)], 0),
    ],
)
def test_a_wait_for_a_core_explains_an_answer_that_is_late_by_as_much_and_no_more(waits, allowed):
    if allowed:
        assert kinds({}, [late_answer(allowed)], waits) == []
    assert kinds({}, [late_answer(allowed + 1)], waits) == [ViolationKind.LOST]


def test_a_wait_for_a_core_explains_neither_a_missing_answer_nor_a_closed_connection():
    waits = [cpu_wait(900, 1500, 600)]
    for what in ("overdue", "broken"):
        assert kinds({}, [end(1000, what)], waits) == [ViolationKind.LOST]


def test_a_late_answer_is_judged_as_any_other_answer():
    waits = [cpu_wait(980, 1000, 15)]
    hosts = {"h1": [task(100, track="e")]}
    declined = late_answer(10, track="e", outcome="declined")
    assert kinds(hosts, [declined], waits) == [ViolationKind.REJECTED]
    assert kinds({}, [late_answer(10, outcome="", status=502)], waits) == [ViolationKind.NO_OUTCOME]


def test_an_attempt_after_the_deadline_of_a_late_answer_is_reported():
    waits = [cpu_wait(900, 1020, 300)]
    ends = [late_answer(300)]
    assert kinds({"h1": [task(1100)]}, ends, waits) == []
    assert kinds({"h1": [task(1101)]}, ends, waits) == [ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT]


def test_an_answer_that_is_due_while_its_gateway_is_paused_may_be_late():
    run = gateway_events((800, "stopped"), (1400, "continued"))
    assert kinds({}, [late_answer(450)], run) == []


def test_a_gateway_that_is_paused_closes_no_connection():
    run = gateway_events((800, "stopped"), (2000, "continued"))
    assert kinds({}, [end(1000, "broken")], run) == [ViolationKind.LOST]


@pytest.mark.parametrize("run", [[], [(900, "ending"), (2000, "ended")], [(900, "ending"), (999, "ended")]])
def test_a_request_whose_connection_is_closed_without_an_answer_is_lost_also_after_a_sigterm(run):
    assert kinds({}, [end(1000, "broken", asked=990 * MILLI)], gateway_events(*run)) == [ViolationKind.LOST]


def test_a_kill_without_a_warning_explains_what_it_took_and_nothing_else():
    run = gateway_events((1000, "killed"), (1500, "started"))

    def lost(what, asked, at):
        return kinds({}, [end(at, what, asked=asked * MILLI)], run)

    assert lost("broken", 900, 1001) == lost("broken", 1200, 1201) == []
    assert lost("broken", 900, 999) == [ViolationKind.LOST]  # closed before
    assert lost("overdue", 0, 999) == [ViolationKind.LOST]  # due before
    assert lost("broken", 1501, 1510) == [ViolationKind.LOST]  # a new process
    assert lost("broken", 900, 1501) == [ViolationKind.LOST]


@pytest.mark.parametrize(("longest", "after"), [(300, 1000), (2000, 2700), (3000, 3700), (6000, 3700)])
def test_a_kill_after_a_sigterm_comes_no_sooner_than_the_longest_deadline_and_0_7_s(longest, after):
    assert kill_after(longest * MILLI) == after * MILLI


def test_a_kill_after_a_sigterm_explains_only_what_came_just_before_it_and_only_in_its_time():
    terms = TERMS._replace(longest_deadline=300 * MILLI)

    def lost(asked, killed=2000, what="killed"):
        run = gateway_events((1000, "ending"), (killed, what), (killed + 500, "started"))
        return kinds({}, [end(killed + 1, "broken", asked=asked * MILLI)], run, terms)

    assert lost(1900) == lost(1999) == []
    assert lost(1899) == [ViolationKind.LOST]  # it could have been answered before
    assert lost(900) == [ViolationKind.LOST]  # held when it was asked to end
    assert lost(1995, killed=1999) == [ViolationKind.LOST]  # killed too early
    assert lost(1999, what="ended") == [ViolationKind.LOST]  # it ended by itself: nobody killed it


def test_a_second_answer_and_one_that_names_no_outcome_are_reported_though_hosts_have_faults():
    run = faults_elsewhere(0)
    assert kinds({}, [end(10), end(20)], run) == [ViolationKind.SECOND_ANSWER]
    assert kinds({}, [end(10, outcome="", status=502)], run) == [ViolationKind.NO_OUTCOME]


# The deadline passed on


def limited(at, limit, name="t"):
    return dict(task(at, name), limit=limit * MILLI)


@pytest.mark.parametrize(
    ("at", "limit", "found"),
    [
        (0, 1150, []),  # the client has 1000 ms from 0 on
        (0, 1151, [ViolationKind.DEADLINE_TOO_LONG]),
        (900, 250, []),
        (900, 251, [ViolationKind.DEADLINE_TOO_LONG]),
        (
            600,
            1000,
            [ViolationKind.DEADLINE_TOO_LONG],
        ),  # passed on once more in full after a slow dial, or written in two parts
    ],
)
def test_the_deadline_passed_to_a_host_is_what_the_client_has_left_and_0_15_s(at, limit, found):
    assert kinds({"h1": [limited(at, limit)]}, [end(1000)]) == found


def test_each_retry_and_each_hedged_request_is_passed_what_is_left_then():
    hosts = {"h1": [limited(10, 990), answered(300, 429)], "h2": [limited(310, 990)]}
    assert kinds(hosts, [end(1000)]) == [ViolationKind.DEADLINE_TOO_LONG]
    assert kinds({"h1": [limited(10, 990)], "h2": [limited(310, 690)]}, [end(1000)]) == []


def test_the_deadline_passed_after_a_pause_is_judged_by_the_client_s_clock():
    run = gateway_events((100, "stopped"), (900, "continued"))
    assert kinds({"h1": [limited(901, 899)]}, [end(1000)], run) == [ViolationKind.DEADLINE_TOO_LONG]
    assert kinds({"h1": [limited(901, 99)]}, [end(1000)], run) == []


def test_what_a_fault_delayed_was_passed_what_was_left_when_it_was_sent():
    def held(late):
        wire = {"what": "fault", "id": "f1", "late": late * MILLI, "slack": 0, "ways": [[[0], ["h1"]]]}
        return [wire | {"at": 0, "on": True}, wire | {"at": 5 * SECOND, "on": False}]

    assert kinds({"h1": [limited(600, 900)]}, [end(1000)], held(400)) == []
    assert kinds({"h1": [limited(600, 900)]}, [end(1000)], held(300)) == [ViolationKind.DEADLINE_TOO_LONG]


# A host in slow start


def cold_day(*runs):
    """The violations at one host of 2 cores at a half, which 20 requests of 0.1 s within its window load to
    the limit. `runs`: for each start of it, when requests come, ms, by gateway in turn."""
    taps, ends = [], []
    for run, times in enumerate(runs):
        begin = 100 * run * SECOND
        names = [f"t{run}-{place}" for place in range(len(times))]
        arrivals = [
            task(at, name, work=100 * MILLI) | {"at": begin + at * MILLI}
            for at, name in zip(times, names, strict=True)
        ]
        taps.append([dict(UP, at=begin), *arrivals])
        ends += [
            end(0, name=name) | {"at": each["at"], "asked": begin, "gateway": place % 3}
            for place, (name, each) in enumerate(zip(names, arrivals, strict=True))
        ]
    return [violation.kind for violation in judge(TERMS, {"h1": taps}, ends, [])]


def test_the_budget_of_a_host_in_slow_start_is_that_of_all_gateways_together():
    assert cold_day([0] * 20) == []
    assert cold_day([0] * 21) == [ViolationKind.SLOW_START]  # seven by each of three gateways


def test_the_budget_holds_in_any_window_and_grows_with_the_host():
    assert cold_day([0] * 20 + [1001] * 21) == []
    assert cold_day([0] * 20 + [1001] * 24) == [ViolationKind.SLOW_START]
    assert cold_day([500] * 12 + [1400] * 12) == [ViolationKind.SLOW_START]


def test_a_host_that_is_cold_twice_in_a_row_has_a_budget_in_each_run():
    assert cold_day([0] * 20, [0] * 20) == []
    assert cold_day([0] * 20, [0] * 21) == [ViolationKind.SLOW_START]
    assert cold_day([0] * 21, [0] * 21) == [ViolationKind.SLOW_START] * 2


def test_a_gateway_that_has_started_anew_has_no_budget_of_its_own():
    tasks = [task(10 * place, f"t{place}", work=100 * MILLI) for place in range(21)]
    ends = [end(500, name=f"t{place}") for place in range(21)]
    run = gateway_events((100, "killed"), (105, "started"))
    assert [violation.kind for violation in judge(TERMS, {"h1": [[UP, *tasks]]}, ends, run)] == [
        ViolationKind.SLOW_START
    ]


# What a late harness hides


def test_what_was_sent_or_answered_twice_rests_on_no_time():
    assert {
        ViolationKind.DUPLICATE,
        ViolationKind.SECOND_ANSWER,
        ViolationKind.UNMATCHED_ANSWER,
        ViolationKind.REJECTED,
    } <= TIME_INDEPENDENT
    assert not TIME_INDEPENDENT & {
        ViolationKind.LOST,
        ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT,
        ViolationKind.DEADLINE_TOO_LONG,
        ViolationKind.DRAIN,
        ViolationKind.SLOW_START,
    }


@pytest.mark.parametrize(
    ("hosts", "clients", "found"),
    [
        ({"h1": [task(1, track="e")], "h2": [task(50, track="e")]}, [], ViolationKind.DUPLICATE),
        ({"h1": [task(1, track="r")], "h3": [task(2061, track="r")]}, [], ViolationKind.OUTSIDE_WINDOW),
        ({"h1": [task(1, track="r")], "h2": [task(50, track="r")]}, [], ViolationKind.OUTSIDE_GROUP),
        ({"h1": [task(1, track="r")], "h3": [task(50, track="r", mark="x")]}, [], ViolationKind.KEY_CHANGED),
        (
            {"h1": [task(1, track="e")]},
            [end(60, outcome="declined", track="e", status=503)],
            ViolationKind.REJECTED,
        ),
        ({}, [{"at": 5, "what": "stray", "gateway": 0}], ViolationKind.UNMATCHED_ANSWER),
    ],
)
def test_each_violation_is_reported_by_its_kind(hosts, clients, found):
    assert kinds(hosts, clients) == ([found] if found is not ViolationKind.OUTSIDE_WINDOW else [])
    if found is ViolationKind.OUTSIDE_WINDOW:
        assert kinds({"h1": [task(1, track="r")], "h3": [task(2062, track="r")]}) == [found]
