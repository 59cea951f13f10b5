"""Constants that several modules of the routing decisions share; times in ns."""

from gaproute.units import MILLI, SECOND

NEVER = 1 << 62  # a time that is never reached

MAX_SAMPLES = 8  # samples stored of each measured figure: two outliers do not move the median of eight
EVIDENCE_LIFETIME = 5 * SECOND  # older samples are ignored, so that a suspected host is tried again
# Older load reports are ignored; overload that the stable hash causes lasts as long.
REPORT_LIFETIME = 8 * SECOND
# Minimum time between evaluations of hosts and of the attempts in flight, to save CPU time; signs of a fault
# take longer to appear.
EVALUATION_INTERVAL = 40 * MILLI
MAX_RATE_SAMPLES = 64  # last answers from which the rate of answers is computed
MIX_SIZE = 256  # last requests from which the share of a function is computed
# Number of first choices of the stable hash that a hot function uses for each host that it could fill: the
# requests of other functions need the rest of each host.
SPREAD_FACTOR = 2.5
# Requests that a usual host runs at a time, even if one instance runs fewer: other functions run there too.
USUAL_CONCURRENCY = 9
# Failure weight of an error of an idempotent request, where an unanswered attempt weighs 1: a retry of the
# request can still succeed.
ERROR_WEIGHT = 0.4
