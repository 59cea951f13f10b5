"""What peers tell: the algebra of facts, trust, the budget, and two gateways on sockets."""
import json

import pytest
from gaproute.appliance import Appliance
from gaproute.conf import read_charter
from gaproute.interface import State
from gaproute.lore import BURST, FACTS, OLDEST, SHARE, Gone, Lore, Purse, Warm
from gaproute.peers.lore_pb2 import Told
from gaproute.policy import Chance
from gaproute.record.record import logger
from helpers import CHARTER, MILLI, SECOND, gateway, row, task
from hypothesis import given
from hypothesis import strategies as st

NOW = 1000 * SECOND
KEEP = 10 * SECOND
warm = st.builds(Warm, st.integers(0, 5), st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 2))
facts = st.lists(st.tuples(st.sampled_from("xy"), st.sampled_from("fg"), warm), max_size=6)
ends = st.lists(
    st.tuples(st.sampled_from("xy"), st.builds(Gone, st.integers(0, 5), st.sampled_from("ab"))), max_size=3
)


def lore(told, gone=()):
    made = Lore()
    for worker, function, fact in told:
        made.tell_warm(worker, function, fact)
    for worker, fact in gone:
        made.tell_gone(worker, fact)
    return made


def state(made):
    return made.warm, made.gone


def merged(*parts):
    made = Lore()
    for part in parts:
        made.merge(part)
    return state(made)


@given(facts, facts, facts, ends, ends)
def test_merging_is_commutative_associative_and_idempotent(a, b, c, gone_a, gone_b):
    a, b, c = lore(a, gone_a), lore(b, gone_b), lore(c)
    assert merged(a, b) == merged(b, a) and merged(a, a) == merged(a)
    ab, bc = Lore(), Lore()
    ab.merge(a), ab.merge(b), bc.merge(b), bc.merge(c)
    assert merged(ab, c) == merged(a, bc)


def hints(made, lives, now=NOW):
    return made.hints(now, lives, KEEP, Chance(1))


def test_a_hint_is_older_than_told_and_differs_between_learners():
    made = lore([("x", "f", Warm(NOW - MILLI, "a", 4, 0))])
    seen = {made.hints(NOW, {"x": 0}, KEEP, Chance(seed))[0][3] for seed in range(20)}
    assert len(seen) > 10 and all(0.34 * KEEP < NOW - at < 0.71 * KEEP for at in seen)


@pytest.mark.parametrize("fact, gone, lives, reason", [
    (Warm(NOW, "a", 4, 0), [], {}, "not listed"),
    (Warm(NOW, "a", 4, 7), [], {"x": 8}, "another life"),
    (Warm(NOW - SECOND, "a", 4, 0), [("x", Gone(NOW - SECOND, "b"))], {"x": 0}, "gone since"),
    (Warm(NOW - KEEP, "a", 4, 0), [], {"x": 0}, "faded"),
])
def test_a_hint_that_a_newer_fact_or_the_list_gainsays_is_void(fact, gone, lives, reason):
    made = lore([("x", "f", fact)], gone)
    assert hints(made, lives) == [] and made.refused[reason] == 1


def test_a_copy_seen_after_a_host_was_told_gone_counts_again():
    assert hints(lore([("x", "f", Warm(NOW, "a", 4, 0))], [("x", Gone(NOW - SECOND, "b"))]), {"x": 0})


@pytest.mark.parametrize("age", [-1, OLDEST + 1, 1 << 70])
def test_an_age_that_cannot_be_is_refused(age):
    made = Lore()
    assert made.observed(NOW, age) is None and made.refused["age"] == 1
    assert made.observed(NOW, SECOND) == NOW - SECOND


def test_givers_that_lie_within_the_schema_are_bounded_and_counted():
    made = Lore()
    for number in range(FACTS + 10):
        made.tell_warm("x", f"f{number}", Warm(1, "a", 1, 0))
    for worker, function, fact in (("x" * 300, "f", Warm(1, "a", 1, 0)), ("x", "", Warm(1, "a", 1, 0)),
                                   ("x", "f", Warm(1, "a", 0, 0)), ("x", "f", Warm(1, "a", 1, -5)),
                                   ("x", "f", Warm(1, "a", 1 << 30, 0))):
        made.tell_warm(worker, function, fact)
    assert len(made.warm) == FACTS
    assert made.refused == {"too many": 10, "name": 2, "lanes": 2, "start": 1}


def test_telling_takes_a_share_of_the_time_and_a_small_burst():
    purse = Purse(0)
    assert purse.may(0)
    purse.spend(BURST + MILLI)
    assert not purse.may(0) and not purse.may(round(0.9 * MILLI / SHARE)) and purse.may(purse.wait() + SECOND)


# What the decision module makes of a hint

def test_a_hint_gives_way_to_what_was_seen_and_is_void_for_hosts_not_active_or_wiped():
    made = gateway(row("a"), row("b", state=State.DRAINING))
    assert made.hint("a", "f", 4, 5 * SECOND) and not made.hint("a", "f", 4, 9 * SECOND)
    assert not made.hint("b", "f", 4, 5 * SECOND) and not made.hint("nobody", "f", 4, 5 * SECOND)
    made.workers["a"].wiped = 6 * SECOND
    assert not made.hint("a", "g", 4, 5 * SECOND)


def test_a_hinted_host_is_chosen_before_hosts_of_which_nothing_is_known():
    for name in "abc":
        made = gateway()
        made.hint(name, "f", 4, 5 * SECOND)
        wish = made.serve(6 * SECOND, task()).send(None)
        assert wish.worker == name


def test_only_what_was_answered_is_told_on():
    made = gateway()
    made.hint("a", "f", 4, 5 * SECOND)
    assert made.known() == []
    made.functions["f"].stands["b"] = 7 * SECOND
    assert made.known() == [("b", "f", 4, 7 * SECOND)]


# Two gateways

@pytest.fixture
def beside(rig):
    """A busy gateway that tells, and a call that starts another beside it; both on one loop."""
    made = rig(hosts=3, told="listen peers 127.0.0.1:0")
    for number in range(6):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    started = []

    def start(where=None):
        where = where or made.gate.fronts[1].address
        text = f"{CHARTER.replace('name g', 'name second')}hosts-file {made.list} look 5ms\npeer g {where}\n"
        second = Appliance(read_charter("second", text), made.loop, 9, logger(open("/dev/null", "w")))
        second.start()
        started.append(second)
        return second

    yield made, start
    for second in started:
        second.close()


def test_a_gateway_started_beside_a_busy_one_finds_the_copy_at_once(beside):
    made, start = beside
    warm_at = json.loads(made.wait(made.ask("lamp", "last")).body)["outputs"][0]["data"][0]
    loads = len(made.seen("loaded"))
    second = start()
    made.until(lambda: second.learner.booked)
    made.at = made.at[0], tuple([*made.at[1][:1], int(second.fronts[0].address.rpartition(":")[2])])
    answer = made.wait(made.ask("lamp", "first"))
    assert json.loads(answer.body)["outputs"][0]["data"][0] == warm_at and len(made.seen("loaded")) == loads
    assert made.gate.giver.told >= 1 and second.learner.state == {"g": "told 1 facts"}
    assert not second.core.gateway.orders


def test_an_operator_sees_what_is_known_and_by_what(beside):
    made, start = beside
    second = start()
    made.until(lambda: second.learner.booked)
    (own,), (hinted,) = made.gate.knowledge(), second.knowledge()
    assert own["answered"] and not hinted["answered"]
    assert (own["worker"], own["function"]) == (hinted["worker"], hinted["function"])
    assert hinted["age_ms"] >= 3500 > own["age_ms"]


def test_news_of_a_host_that_is_gone_from_the_list_is_void(beside):
    made, start = beside
    rows = made.list.read_text().splitlines()
    (worker, *_), = made.gate.core.gateway.known()
    made.list.write_text("\n".join(row for row in rows if not row.startswith(f"host {worker} ")) + "\n")
    second = start()
    made.until(lambda: second.learner.state["g"].startswith("told"))
    assert second.learner.booked == 0 and worker not in second.core.gateway.workers


@pytest.mark.parametrize("act", ["refuses", "stalls", "nonsense", "future"])
def test_a_peer_that_is_no_help_is_dropped_and_nothing_waits_for_it(beside, act):
    from test_gateway import reply, scripted_host
    made, start = beside
    body = {"nonsense": b"\xff\xff", "future": Told(version=9).SerializeToString()}.get(act, b"")
    text = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
    listener = scripted_host(made.loop, (lambda stream, data: None) if act == "stalls" else
                             reply(text.decode("latin-1")) if act == "future" else
                             lambda stream, data: stream.write(text))
    where = listener.address
    if act == "refuses":
        listener.close()
    second = start(where)
    made.at = made.at[0], ("127.0.0.1", int(second.fronts[0].address.rpartition(":")[2]))
    assert made.wait(made.ask("lamp", "meanwhile")).status == 200
    made.until(lambda: second.learner.state["g"] == "dropped after 0 facts")
    listener.close()


def test_a_giver_out_of_budget_puts_off_and_still_tells(beside):
    made, start = beside
    made.gate.giver.purse.spend(11 * MILLI)
    second = start()
    made.until(lambda: second.learner.state["g"].startswith("told"))
    assert made.gate.giver.put_off >= 1 and second.learner.booked == 1
