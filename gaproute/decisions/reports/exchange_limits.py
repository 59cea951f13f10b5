"""Limits and intervals for the exchange of observations with peers and for their storage. Times are ns."""

from gaproute.units import MILLI, SECOND

MAX_CHUNK_OBSERVATIONS = 256  # observations in one answer
MAX_CHUNK_NAME_BYTES = 16_384  # bytes of names in one answer; its other parts have a bounded size
# Limit of the chunks requested from one peer, so that a faulty peer cannot keep the gateway busy forever.
MAX_CHUNKS_PER_PEER = 1024
MAX_ANSWER_BYTES = 1 << 20
ANSWER_TIMEOUT = 500 * MILLI  # for one answer; a slower peer gets no further requests
# Time after the start in which the gateway fetches observations of peers. Later, the gateway's own requests
# show more than any peer knows.
FETCH_PERIOD = 5 * SECOND
# Interval of the requests for changes: a tenth of the time after which a busy instance is used again.
POLL_INTERVAL = 250 * MILLI
MAX_RETRIES = 8  # retries at a peer that does not answer yet, as both gateways may have been restarted
RETRY_INTERVAL = 500 * MILLI
MAX_PEERS_AT_A_TIME = 4  # peers asked at the same time: further peers would send mostly the same observations

# Interval of the rounds of writes to disk: a kill loses half a second of observations.
WRITE_INTERVAL = 500 * MILLI
# Number of rounds of which one writes all observations, as some figures have no time of their last change.
ROUNDS_PER_FULL_WRITE = 10
