"""What each role at the operators' size has to bear: rows of the budget, each from one measurement."""

from dataclasses import dataclass

from benchmarks.scale import size


@dataclass(frozen=True)
class Row:
    """One cost of one role against its budget.

    The cost is what `measurement` predicts at `at`, times `multiplier`, in `unit`. Where `measurement` is
    None the mechanism is missing, and nothing is predicted. `cap`: a bound in the code, in the unit of `at`,
    up to which the mechanism works whatever it costs."""

    key: str
    role: str
    cost: str
    measurement: str | None
    at: float
    multiplier: float
    budget: float
    unit: str
    mechanism: str
    cap: float | None = None


KEEP_ALIVE = 10  # seconds; a function is forgotten four of them after its last call
FUNCTIONS_KEPT = min(size.FUNCTIONS, 4 * KEEP_ALIVE * size.CALLS_A_GATEWAY)  # each call of another function
BYTES_TO_MB = 1 / (1 << 20)
BYTES_TO_KB = 1 / (1 << 10)
SECONDS_TO_MINUTES = 1 / 60
HOSTS = size.HOSTS_AT_20
HOST_CHANGES_A_SECOND = 2 * (size.RESTARTS + size.MACHINE_FAILURES) / size.DAY  # gone, and back
DEMAND_LIFE = 120  # seconds that a told demand counts
MEMBERS_CAP = 4_096  # gateways that membership holds
LEASES = 100  # held by them at a time
CELLS_OF_FLEET = 490  # at 256 hosts each
MS_TO_US = 1_000

CONNECTIONS = size.HOSTS_AT_20  # kept to hosts, were each host reached by each gateway itself
PROBES_A_SECOND = HOSTS / 0.7  # of each host every 700 ms, as where reports come by probe only

PATH, CONTROL, CELLS, RAFT = "path", "control", "cells", "raft"
WHOLE_LIST = "every gateway holds the whole list"

ROWS = (
    Row(
        "path-first-call",
        PATH,
        "first call of a rare function, of a cold start's time",
        "decisions-first-call-by-hosts",
        HOSTS,
        1,
        size.COLD_START,
        "ms",
        "rendezvous hashing over all hosts",
    ),
    Row(
        "path-calls",
        PATH,
        "decisions on all calls, no host cold",
        "decisions-later-call-by-hosts",
        HOSTS,
        size.CALLS_A_GATEWAY,
        size.CALLS_MS,
        "ms a second",
        "one look at every host a call",
    ),
    Row(
        "path-calls-host-cold",
        PATH,
        "decisions on all calls while one host of the fleet is cold",
        "decisions-call-host-cold-by-hosts",
        HOSTS,
        size.CALLS_A_GATEWAY,
        size.CALLS_MS,
        "ms a second",
        "every host's rules judged a call",
    ),
    Row(
        "control-list-file",
        CONTROL,
        "host changes read from the list's file",
        "host-list-change-cpu-by-hosts",
        HOSTS,
        HOST_CHANGES_A_SECOND,
        size.CONTROL_MS,
        "ms a second",
        "the file read whole at each change",
    ),
    Row(
        "control-list-changes",
        CONTROL,
        "changes booked by the decisions, were each of the day's a line of the list",
        "decisions-changed-line-by-hosts",
        HOSTS,
        size.CHANGES_A_SECOND,
        size.CONTROL_MS,
        "ms a second",
        "the whole fleet counted anew for each line",
    ),
    Row(
        "control-list-memory",
        CONTROL,
        "memory of the host list",
        "decisions-list-memory-by-hosts",
        HOSTS,
        1,
        size.CONTROL_MEMORY,
        "MB",
        WHOLE_LIST,
    ),
    Row(
        "control-list-bytes",
        CONTROL,
        "the whole list at a start, within a minute",
        "change-log-whole-bytes-by-hosts",
        HOSTS,
        BYTES_TO_KB / 60,
        size.CONTROL_BYTES,
        "KB a second",
        WHOLE_LIST,
    ),
    Row(
        "control-function-memory",
        CONTROL,
        "memory of the functions kept",
        "decisions-function-memory-by-hosts",
        HOSTS,
        FUNCTIONS_KEPT * BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        "each function keeps an order of hosts",
    ),
    Row(
        "control-housekeeping",
        CONTROL,
        "a second's housekeeping",
        "decisions-housekeeping-by-hosts",
        HOSTS,
        1,
        size.CONTROL_MS,
        "ms a second",
        "one look at every host a second",
    ),
    Row(
        "control-members",
        CONTROL,
        "memory of membership",
        "membership-memory-by-members",
        size.GATEWAYS,
        BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        "SWIM, every gateway holds all",
        cap=MEMBERS_CAP,
    ),
    Row(
        "control-gossip-bytes",
        CONTROL,
        "bytes of the gossip of demand",
        "gossip-bytes-by-gateways",
        size.GATEWAYS,
        BYTES_TO_KB,
        size.CONTROL_BYTES,
        "KB a second",
        "told to one peer after the other",
    ),
    Row(
        "control-gossip-round",
        CONTROL,
        "a round of the gossip of demand to all, while what is told counts",
        "gossip-round-seconds-by-gateways",
        size.GATEWAYS,
        1,
        DEMAND_LIFE,
        "s",
        "told to one peer after the other",
    ),
    Row(
        "control-connections",
        CONTROL,
        "memory of a kept connection to each host",
        "kept-connection-memory-by-connections",
        CONNECTIONS,
        BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        WHOLE_LIST,
    ),
    Row(
        "control-probes",
        CONTROL,
        "probes of every host each 700 ms",
        "probe-cpu-by-hosts",
        PROBES_A_SECOND,
        1,
        size.CONTROL_MS,
        "ms a second",
        "each gateway probes for itself",
    ),
    Row(
        "control-start",
        CONTROL,
        "facts of a fleet's functions learnt at a start, within a minute",
        "learning-bytes-by-facts",
        size.FUNCTIONS,
        BYTES_TO_KB / 60,
        size.CONTROL_BYTES,
        "KB a second",
        "peers tell all that they saw",
    ),
    Row(
        "operator-hosts-table",
        "operator",
        "the table of hosts",
        "hosts-table-bytes-by-hosts",
        HOSTS,
        BYTES_TO_MB,
        size.CONTROL_MEMORY,
        "MB",
        "told whole",
    ),
    Row(
        "cells-first-call",
        CELLS,
        "first call of an unseen function",
        "cells-first-call",
        CELLS_OF_FLEET,
        1,
        MS_TO_US,
        "us",
        "multi-probe consistent hashing over cells",
    ),
    Row(
        "cells-changed-line",
        CELLS,
        "one changed row of the table",
        "cells-changed-line",
        CELLS_OF_FLEET,
        1,
        MS_TO_US,
        "us",
        "the ring's points of one cell put in anew",
    ),
    Row(
        "cells-changes",
        CELLS,
        "the day's changes, were each a row of the table",
        "cells-changed-line",
        CELLS_OF_FLEET,
        size.CHANGES_A_SECOND / MS_TO_US,
        size.CONTROL_MS,
        "ms a second",
        "the ring's points of one cell put in anew",
    ),
    Row(
        "cells-memory",
        CELLS,
        "memory of the decisions with the cells known",
        "cells-memory",
        size.GATEWAYS,
        1,
        size.CONTROL_MEMORY,
        "MB",
        "512 hosts in view, entries of the other cells",
    ),
    Row(
        "cells-bytes",
        CELLS,
        "bytes sent for the table at the day's changes",
        "dissemination-day-sent",
        size.GATEWAYS,
        BYTES_TO_KB,
        size.CONTROL_BYTES,
        "KB a second",
        "pushed on, and versions exchanged each second",
    ),
    Row(
        "cells-told",
        CELLS,
        "a change at all gateways, 5% of messages lost",
        "dissemination-loss5-all",
        size.GATEWAYS,
        1,
        1_000 * size.CHANGE_WITHIN,
        "ms",
        "pushed on, and versions exchanged each second",
    ),
    Row(
        "cells-start",
        CELLS,
        "the whole table at a start, within a minute",
        "dissemination-newcomer-received",
        size.GATEWAYS,
        BYTES_TO_KB / 60,
        size.CONTROL_BYTES,
        "KB a second",
        "parts of 8 KB from one source",
    ),
    Row(
        "cells-healing",
        CELLS,
        "greatest second of a gateway after an hour cut off",
        "dissemination-heal-greatest-second",
        size.GATEWAYS,
        BYTES_TO_KB,
        size.CONTROL_BYTES,
        "KB a second",
        "a burst of two whole tables",
    ),
    Row(
        "raft-leader-cpu",
        RAFT,
        "leader's processor time, were each gateway a holder of leases",
        "consensus-leader-cpu-by-holders",
        size.GATEWAYS,
        1,
        1_000,
        "ms a second",
        "one Raft group",
    ),
    Row(
        "raft-leader-planners",
        RAFT,
        "leader's processor time, planners and schedulers alone hold leases",
        "consensus-leader-cpu-by-leases",
        LEASES,
        1,
        1_000,
        "ms a second",
        "one Raft group",
    ),
    Row(
        "raft-memory",
        RAFT,
        "memory of a lease for each host",
        "consensus-memory-by-leases",
        HOSTS,
        BYTES_TO_MB,
        24_000,
        "MB",
        "one Raft group",
    ),
)
