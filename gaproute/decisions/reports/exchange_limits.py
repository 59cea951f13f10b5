"""Limits and intervals of the exchange of observations with peers and of their storage. Times are ns."""

from gaproute.units import MILLI, SECOND

MAX_CHUNK_OBSERVATIONS = 256  # in one answer
MAX_CHUNK_NAME_BYTES = 16_384  # bytes of names in one answer; the rest of an answer is bounded
MAX_CHUNKS_PER_PEER = 1024  # requested from one peer, so that a faulty peer cannot occupy a client for ever
MAX_ANSWER_BYTES = 1 << 20
ANSWER_TIMEOUT = 500 * MILLI  # for one answer; a slower peer is not asked any more
FETCH_PERIOD = 5 * SECOND  # after the start; later, own requests show more than any peer knows
# Between requests for changes: a tenth of the time in which a busy instance is used again
POLL_INTERVAL = 250 * MILLI
MAX_RETRIES = 8  # for a peer that does not answer yet, as both sides may have been restarted
RETRY_INTERVAL = 500 * MILLI
MAX_PEERS_AT_A_TIME = 4  # asked at a time: further peers would send mostly the same observations

WRITE_INTERVAL = 500 * MILLI  # between rounds of writing to disk: a kill loses half a second of observations
# One of so many rounds writes everything, for the figures that have no time of their own
ROUNDS_PER_FULL_WRITE = 10
