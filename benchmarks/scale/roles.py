"""What each role at the operators' size has to bear: rows of the budget, each from one measurement."""

from dataclasses import dataclass

from benchmarks.scale import size


@dataclass(frozen=True)
class Row:
    """One cost of one role against its budget.

    The cost is what `measurement` predicts at `at`, times `multiplier`, in `unit`. Where `measurement` is
    None the mechanism is missing, and nothing is predicted."""

    key: str
    role: str
    cost: str
    measurement: str | None
    at: float
    multiplier: float
    budget: float
    unit: str
    mechanism: str


KEEP_ALIVE = 10  # seconds; a function is forgotten four of them after its last call
FUNCTIONS_KEPT = min(size.FUNCTIONS, 4 * KEEP_ALIVE * size.CALLS_A_GATEWAY)  # each call of another function
BYTES_TO_MB = 1 / (1 << 20)
HOSTS = size.HOSTS_AT_50

ROWS = (
    Row(
        "gateway-first-call",
        "gateway",
        "first call of a rare function, beside a cold start",
        "decisions-first-call-by-hosts",
        HOSTS,
        1,
        size.COLD_START,
        "ms",
        "order of all hosts by a stable hash",
    ),
    Row(
        "gateway-calls",
        "gateway",
        "decisions on all calls, no host cold",
        "decisions-later-call-by-hosts",
        HOSTS,
        size.CALLS_A_GATEWAY,
        size.CALLS_MS,
        "ms a second",
        "one look at every host a call",
    ),
    Row(
        "gateway-calls-host-cold",
        "gateway",
        "decisions on all calls while one host of the fleet is cold",
        "decisions-call-host-cold-by-hosts",
        HOSTS,
        size.CALLS_A_GATEWAY,
        size.CALLS_MS,
        "ms a second",
        "every host's rules judged a call",
    ),
    Row(
        "gateway-list-changes",
        "gateway",
        "changes of the host list, were all changes of it",
        "decisions-changed-line-by-hosts",
        HOSTS,
        size.CHANGES_A_SECOND,
        size.CONTROL_MS,
        "ms a second",
        "the whole fleet counted anew for each line",
    ),
    Row(
        "gateway-list-memory",
        "gateway",
        "memory of the host list",
        "decisions-list-memory-by-hosts",
        HOSTS,
        1,
        size.CONTROL_MEMORY,
        "MB",
        "every gateway holds the whole list",
    ),
    Row(
        "gateway-function-memory",
        "gateway",
        "memory of the functions kept",
        "decisions-function-memory-by-hosts",
        HOSTS,
        FUNCTIONS_KEPT * BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        "each function keeps its order of the hosts",
    ),
    Row(
        "gateway-housekeeping",
        "gateway",
        "a second's housekeeping",
        "decisions-housekeeping-by-hosts",
        HOSTS,
        1,
        size.CONTROL_MS,
        "ms a second",
        "one look at every host a second",
    ),
)
