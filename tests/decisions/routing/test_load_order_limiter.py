"""The limit on load orders as hosts count it."""

from helpers import SECOND, Drive, gateway, task
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gaproute import interface as face
from gaproute.decisions.routing.load_order_limiter import TRANSIT_SHARE, LoadOrderLimiter
from gaproute.interface import Result

WINDOW = 10 * SECOND
WAY = int(TRANSIT_SHARE * WINDOW)
at = st.integers(0, 50).map(lambda half: half * SECOND // 2)


@example([(0, 0, True, 20)], [(8 * SECOND, WAY, 0, 6)], 0)  # sent beside tasks, there when these are over
@settings(max_examples=300, deadline=None)
@given(
    bursts=st.lists(st.tuples(at, st.integers(0, 3 * SECOND), st.booleans(), st.integers(1, 20)), max_size=6),
    orders=st.lists(
        st.tuples(at, st.sampled_from([0, WAY // 2, WAY]), st.integers(0, 6 * SECOND), st.integers(1, 6)),
        max_size=8,
    ),
    free=st.integers(0, 1),
)
def test_no_arrival_is_over_the_limit_whatever_waits_travels_is_lost_or_faulty(bursts, orders, free):
    """`bursts`: (came, served after, whether real ones, how many); `orders`: (requested, way, answered after,
    how many)."""
    tasks = [(came, took, real) for came, took, real, count in bursts for _ in range(count)]
    requested = [(when, way, took) for when, way, took, count in orders for _ in range(count)]
    made, share = LoadOrderLimiter(free, 0.3, WINDOW), 0.3
    happened = sorted(
        [(came + took, 0, came) for came, took, real in tasks if real]
        + [(when, 1, (way, took)) for when, way, took in requested],
        key=lambda each: each[:2],
    )
    arrivals, ends = [], []
    for now, kind, detail in happened:
        for end in sorted(end for end in ends if end <= now):
            made.record_end(end)
        ends = [end for end in ends if end > now]
        if kind == 0:
            made.record_delivery(now, detail)
        elif made.allows(now):
            made.record_sent()
            arrivals.append(now + detail[0])
            ends.append(now + detail[0] + detail[1])
    taken = [came for came, _, real in tasks if real]
    for arrival in arrivals:
        count = sum(arrival - WINDOW <= other <= arrival for other in arrivals)
        assert count <= free + share * sum(arrival - WINDOW < came <= arrival for came in taken)


def test_the_limit_is_no_tighter_than_it_must_be():
    made = LoadOrderLimiter(2, 0.3, WINDOW)
    for _ in range(10):
        made.record_delivery(SECOND, SECOND)
    for _ in range(5):
        assert made.allows(SECOND)
        made.record_sent()
        made.record_end(SECOND)
    assert not made.allows(SECOND)
    assert not made.allows(SECOND + WINDOW)
    assert made.allows(SECOND + WINDOW + 1)


def test_without_a_window_every_order_may_go():
    made = LoadOrderLimiter(0, 0, 0)
    made.record_delivery(1, 1)
    assert made.allows(1)
    assert not made.arrivals


def test_what_fails_or_leaves_is_no_request_for_the_limit():
    """A host answers bad clients' requests with an error, and the platform does not count them as taken."""
    made = gateway()
    Drive(made, task("bad", request_class=2)).hears(SECOND, Result.ERROR)
    Drive(made, task("late", request_class=2)).hears(SECOND, Result.TIMEOUT)
    Drive(made, task("gone")).hears(SECOND, Result.CLIENT_LEFT, ended=True)
    assert made.load_order_limiter.arrivals == []
    Drive(made, task("good"), 5).hears(SECOND, Result.OK)
    assert made.load_order_limiter.arrivals == [5]


def test_an_order_counts_until_a_window_after_its_end():
    made = gateway(load_orders_free=1, load_order_share=0, load_order_window=WINDOW)
    function = made.functions.find_or_add("f", 4)
    made.load_orders.record_sent(0, function)
    assert not made.load_orders.may_order(3 * WINDOW, made.functions.find_or_add("g", 4))
    made.load_order_ended(3 * WINDOW, "a", "f", Result.TIMEOUT, 0)
    assert not made.load_orders.may_order(4 * WINDOW, function)
    assert made.load_orders.may_order(4 * WINDOW + 1, function)


def orders(made, answered_after, tries=200):
    """Orders that are sent as requests crowd at a host, each answered so long after."""
    function, went, now = made.functions.find_or_add("f", 4), 0, 0
    for number in range(tries):
        now += SECOND
        drive = Drive(made, task(str(number)), now)
        drive.hears(now, Result.OK, same_function_requests=9)
        if any(isinstance(action, face.LoadOrder) for action in drive.wishes):
            went += 1
            made.load_order_ended(now + answered_after, "a", "f", Result.OK, 3)
            assert not function.load_order_open
    return went


def test_orders_that_find_their_instances_standing_are_made_seldom():
    """Each costs what a probe costs; hosts that add copies by themselves answer at once."""
    made = gateway(load_order_window=0)
    made.answer_times.load_times.append(SECOND)
    assert 3 < orders(made, SECOND // 100) < 40


def test_orders_that_bring_instances_go_on():
    made = gateway(load_order_window=0)
    made.answer_times.load_times.append(SECOND)
    assert orders(made, SECOND // 2) == 200
