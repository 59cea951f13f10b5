"""The gateway's decisions by hosts: calls, the list, memory, housekeeping."""

from collections.abc import Callable
from functools import partial

from benchmarks.scale.gateways import CAPACITY, MEGABYTE, REPORT, SECOND, Caller, row, rows
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import retained_bytes
from benchmarks.scale.plays import CPU, MEMORY, cpu_ms, grown
from benchmarks.terms import SINGLE_GATEWAY_ROUTING_SETTINGS
from gaproute.decisions.routing import Gateway
from gaproute.interface import HostLoadReport, Wait

HOSTS = (100, 400, 1_600, 6_400, 25_600)
FEWER_HOSTS = HOSTS[:-1]  # where the largest would take long and show little more
BY = "hosts in the list"
WARM_FUNCTIONS = 200
WARM_ROUNDS = 3  # calls of each before the measured ones
RARE = "the last 256 calls were of other functions"

CallerChange = Callable[[Caller], None]


def repeats(hosts: int) -> int:
    """How often a call is repeated in a play: less often in a large fleet."""
    return max(4, min(64, 25_600 // hosts))


def do_nothing(caller: Caller) -> None:
    """Nothing happens to the caller."""


def rare_calls(
    hosts: int, seed: int, *, before: CallerChange = do_nothing, between: CallerChange = do_nothing
) -> float:
    """Milliseconds of the second call of a rare function; changes come before and after the first calls."""
    caller = Caller(hosts, seed)
    caller.fill_mix()
    before(caller)
    names = [f"rare-{number}" for number in range(repeats(hosts))]
    for name in names:
        caller.call(name)
    caller.fill_mix()
    between(caller)
    called = iter(names)
    return cpu_ms(lambda: caller.call(next(called)), len(names))


def first_call(hosts: int, seed: int) -> float:
    """Milliseconds of the first call of a function."""
    caller = Caller(hosts, seed)
    caller.fill_mix()
    names = iter(f"rare-{number}" for number in range(repeats(hosts)))
    return cpu_ms(lambda: caller.call(next(names)), repeats(hosts))


def later_call(hosts: int, seed: int) -> float:
    """Milliseconds of a call of a function called before."""
    return rare_calls(hosts, seed)


def call_after_change(hosts: int, seed: int) -> float:
    """Milliseconds of a call of a function called before, one line of the list having changed since."""
    return rare_calls(hosts, seed, between=lambda caller: change(caller, CAPACITY / 2))


def call_host_cold(hosts: int, seed: int) -> float:
    """Milliseconds of a call of a function called before, one host of the fleet having just started."""
    return rare_calls(hosts, seed, before=start_host)


def warm_call(hosts: int, seed: int, report: HostLoadReport | None = None) -> float:
    """Milliseconds of a call where many functions are called in turn; each answer contains the report."""
    caller = Caller(hosts, seed, report)
    names = [f"warm-{number}" for number in range(WARM_FUNCTIONS)]
    for name in names * WARM_ROUNDS:
        caller.call(name)
    called = iter(names)
    return cpu_ms(lambda: caller.call(next(called)), len(names))


def first_list(hosts: int, seed: int) -> float:
    """Milliseconds of the first complete list."""
    gateway, listed = Gateway(seed, SINGLE_GATEWAY_ROUTING_SETTINGS, 0), rows(hosts)
    return cpu_ms(lambda: gateway.update_hosts(0, listed, complete=True))


def reported_warm_call(hosts: int, seed: int) -> float:
    """The same where every answer contains the host's load and memory."""
    return warm_call(hosts, seed, REPORT)


def start_host(caller: Caller) -> None:
    """One host of the fleet has just started."""
    caller.gateway.update_hosts(caller.now, [row(0, started=caller.now)], complete=False)


def change(caller: Caller, capacity: float) -> None:
    """One host's line changes."""
    caller.gateway.update_hosts(caller.now, [row(0, capacity=capacity)], complete=False)


def changed_line(hosts: int, seed: int) -> float:
    """Milliseconds of one changed line of the list."""
    caller = Caller(hosts, seed)
    capacities = iter(range(1, repeats(hosts) + 1))
    return cpu_ms(lambda: change(caller, float(next(capacities))), repeats(hosts))


def list_memory(hosts: int, seed: int) -> float:
    """Megabytes of a gateway with the list."""
    return retained_bytes(lambda: Caller(hosts, seed)) / MEGABYTE


def function_memory(hosts: int, seed: int) -> float:
    """Bytes for each function known after one call."""
    caller, count = Caller(hosts, seed), repeats(hosts)
    caller.call("before")
    caller.fill_mix()

    def call_each() -> None:
        for number in range(count):
            caller.call(f"rare-{number}")

    return retained_bytes(call_each) / count


def housekeeping_round(hosts: int, seed: int) -> float:
    """Milliseconds of one second's round, without probes and with nothing to forget."""
    caller = Caller(hosts, seed)
    for number in range(4):
        caller.call(f"known-{number}")
    housekeeping = caller.gateway.housekeep(caller.now)
    assert isinstance(next(housekeeping), Wait)

    def turn() -> None:
        caller.now += SECOND
        housekeeping.send((caller.now, None))

    return cpu_ms(turn, repeats(hosts))


PLAYED = (
    ("decisions-first-call-by-hosts", "first call of a rare function", "ms", first_call, f"{CPU}; {RARE}"),
    ("decisions-later-call-by-hosts", "later call of a rare function", "ms", later_call, f"{CPU}; {RARE}"),
    (
        "decisions-call-after-change-by-hosts",
        "call of a known rare function after a line of the list changed",
        "ms",
        call_after_change,
        f"{CPU}; {RARE}",
    ),
    (
        "decisions-call-host-cold-by-hosts",
        "later call of a rare function while one host of the fleet is cold",
        "ms",
        call_host_cold,
        f"{CPU}; {RARE}",
    ),
    (
        "decisions-warm-call-by-hosts",
        f"call where {WARM_FUNCTIONS} functions are warm",
        "ms",
        warm_call,
        f"{CPU}; {WARM_ROUNDS} calls of each before, one of each measured; no host tells its memory",
    ),
    ("decisions-whole-list-by-hosts", "first whole list", "ms", first_list, CPU),
    ("decisions-changed-line-by-hosts", "one changed line of the list", "ms", changed_line, CPU),
    ("decisions-list-memory-by-hosts", "memory of a gateway with its list", "MB", list_memory, MEMORY),
    (
        "decisions-function-memory-by-hosts",
        "memory for each rare function kept",
        "bytes",
        function_memory,
        f"{MEMORY}; one call of each function",
    ),
    (
        "decisions-housekeeping-by-hosts",
        "a second's round of housekeeping, nothing to forget",
        "ms",
        housekeeping_round,
        f"{CPU}; no probes, 4 functions",
    ),
)
MEASUREMENTS: Measurements = {
    name: partial(grown, name, meaning, unit, BY, HOSTS, play, conditions)
    for name, meaning, unit, play, conditions in PLAYED
}
MEASUREMENTS["decisions-reported-warm-call-by-hosts"] = partial(
    grown,
    "decisions-reported-warm-call-by-hosts",
    f"call where {WARM_FUNCTIONS} functions are warm and answers tell hosts' loads",
    "ms",
    BY,
    FEWER_HOSTS,
    reported_warm_call,
    f"{CPU}; {WARM_ROUNDS} calls of each before, one of each measured",
)
