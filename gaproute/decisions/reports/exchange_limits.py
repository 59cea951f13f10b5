"""Bounds and paces of the exchange of observations with peers and of their storage. Times are in ns."""

MILLI, SECOND = 1_000_000, 1_000_000_000

MAX_CHUNK_OBSERVATIONS = 256  # in one answer
MAX_CHUNK_NAME_BYTES = 16_384  # of names in one answer; the rest of it is of bounded size
MAX_CHUNKS = 1024  # that one peer is asked for: it cannot hold a client for ever
MAX_ANSWER_BYTES = 1 << 20
ANSWER_TIMEOUT = 500 * MILLI  # for one answer; a peer that is slower is dropped
LEARNING_TIME = 5 * SECOND  # from the start on: later, own traffic tells more than any peer
POLL_INTERVAL = 250 * MILLI  # between requests for what changed: a tenth of the time in which a busy
#                              instance is reused
MAX_RETRIES = 8  # for a peer that is not there yet: both sides may have been restarted
RETRY_INTERVAL = 500 * MILLI
MAX_PEERS = 4  # asked at once: further ones tell mostly the same

WRITE_INTERVAL = 500 * MILLI  # between rounds of writing to disk: what a kill loses is half a second
ROUNDS_PER_FULL_WRITE = 10  # one of them writes everything, for the figures that have no time of their own
