"""Constants of the routing decisions that several of its modules share; times in ns."""

from gaproute.units import MILLI, SECOND

NEVER = 1 << 62  # a time that never comes

MAX_SAMPLES = 8  # last samples that are stored of each measured figure: two outliers do not move their median
EVIDENCE_LIFETIME = 5 * SECOND  # older samples do not count, so that a suspected host is tried again
REPORT_LIFETIME = 8 * SECOND  # older load reports are ignored; overload by the stable hash lasts as long
# Between judgements of hosts and of the attempts in flight, to save CPU time: signs of a fault take longer.
EVALUATION_INTERVAL = 40 * MILLI
MAX_RATE_SAMPLES = 64  # answers from which the rate of answers is computed
MIX_SIZE = 256  # last requests from which the share of a function is computed
# First choices of the stable hash that a hot function uses, for each host that it could fill: the requests of
# other functions need the rest of each host.
SPREAD_FACTOR = 2.5
# Requests that a usual host runs at a time, however few one instance runs: other functions run there too.
USUAL_CONCURRENCY = 9
# Weight of an error as the result of an idempotent request, where an unanswered attempt weighs 1: a retry of
# the request can still succeed.
ERROR_WEIGHT = 0.4
