"""Constants of the routing decisions that several of its modules share; times in ns."""

MILLI, SECOND = 1_000_000, 1_000_000_000
NEVER = 1 << 62  # a time that never comes

SAMPLES = 8  # samples of each thing measured: a median that two odd ones do not move
EVIDENCE_LIFETIME = 5 * SECOND  # older samples are no evidence: a suspect is tried again after it
REPORT_LIFETIME = 8 * SECOND  # older load reports are ignored: crowds by the stable hash last as long
JUDGEMENT_INTERVAL = 40 * MILLI  # between judgements of hosts and of the requests in flight, to spare CPU:
#                                  far less than signs of a fault take
RATE_SAMPLES = 64  # answers over which this gateway's rate of answers is taken
MIX_SIZE = 256  # own last requests from which a function's share of the work is taken
SPREAD_FACTOR = 2.5  # first choices for each host that a hot function could fill: the requests of other
#                      functions need the rest of each host
USUAL_CONCURRENCY = 9  # requests that a usual host takes on, whatever the lanes of one instance: those of
#                        other functions run there too
ERROR_WEIGHT = 0.4  # of the weight of an unanswered attempt, an error's of an idempotent request: others
#                     then succeed
