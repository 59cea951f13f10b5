"""Work beside a call: the load orders' limiter by the calls in its window, the choice of a host to probe."""

from functools import partial

from benchmarks.scale.gateways import MILLI, SECOND, Caller
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.plays import CPU, cpu_ms, grown
from benchmarks.terms import SINGLE_GATEWAY_ROUTING_SETTINGS
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.decisions.routing.load_report_sharing import LoadReportSharing

WINDOW = 10 * SECOND
CALLS = (100, 1_000, 10_000, 100_000, 1_000_000)
HOSTS = (100, 400, 1_600, 6_400, 25_600)
REPEATS = 2_000
PICKS = 20
LATE = 4 * SECOND  # answers come so long after their calls at the most, in no order
REPORT_SHARING_ROUTING_SETTINGS = SINGLE_GATEWAY_ROUTING_SETTINGS._replace(
    reported_figures=("cpu_busy", "memory_busy"), probe_price=1e-6, peers_allowed=True, gateways=2
)


def _full_limiter(calls: int) -> tuple[LoadOrderLimiter, int, int]:
    """A limiter with so many delivered calls in its window; the time, ns; the time between two calls, ns."""
    routing_settings = SINGLE_GATEWAY_ROUTING_SETTINGS
    limiter = LoadOrderLimiter(routing_settings.load_orders_free, routing_settings.load_order_share, WINDOW)
    gap = WINDOW // calls
    for number in range(calls):
        limiter.record_delivery(number * gap, number * gap)
    return limiter, WINDOW, gap


def may_order(calls: int, seed: int) -> float:
    """Milliseconds of asking whether an order may go out."""
    limiter, now, _ = _full_limiter(calls)
    return cpu_ms(lambda: limiter.allows(now), REPEATS)


def delivered(calls: int, seed: int) -> float:
    """Milliseconds of counting one delivered call, the window moving on."""
    limiter, now, gap = _full_limiter(calls)
    chance = RandomGenerator(seed)
    times = iter([(now + number * gap, now + number * gap - chance.below(LATE)) for number in range(REPEATS)])
    return cpu_ms(lambda: limiter.record_delivery(*next(times)), REPEATS)


def pick(hosts: int, seed: int) -> float:
    """Milliseconds of choosing the host to probe."""
    active, chance = Caller(hosts, seed).gateway.active_hosts, RandomGenerator(seed)
    sharing = LoadReportSharing(REPORT_SHARING_ROUTING_SETTINGS)
    for _ in range(PICKS):
        sharing.record_delivery()
    times = iter(range(SECOND, 2 * SECOND, MILLI))

    def choose() -> None:
        sharing.record_delivery()
        if sharing.host_to_probe(next(times), active, 0, chance) is None:
            raise RuntimeError("no host was chosen")

    return cpu_ms(choose, PICKS)


MEASUREMENTS: Measurements = {
    "ration-may-order-by-calls": partial(
        grown,
        "ration-may-order-by-calls",
        "asking the load ration whether an order may go out",
        "ms",
        "delivered calls in the window",
        CALLS,
        may_order,
        CPU,
    ),
    "ration-delivered-by-calls": partial(
        grown,
        "ration-delivered-by-calls",
        "counting one delivered call in the load ration",
        "ms",
        "delivered calls in the window",
        CALLS,
        delivered,
        f"{CPU}; answers up to {LATE // SECOND} s after their calls, in no order",
    ),
    "sharing-pick-by-hosts": partial(
        grown,
        "sharing-pick-by-hosts",
        "choosing the host to probe",
        "ms",
        "hosts in the list",
        HOSTS,
        pick,
        f"{CPU}; reports are told to other gateways",
    ),
}
