"""Intervals, budgets and bounds of the dissemination. Times are in ns, sizes in bytes."""

from gaproute.units import MILLI, SECOND

# Sending
FANOUT = 4  # peers to which a gateway pushes a newer version; without loss, pushes miss 1 gateway in 50
ANNOUNCE_INTERVAL = SECOND  # between two announcements of a version that is not new
EAGER_INTERVAL = 200 * MILLI  # between two announcements of a new version
EAGER_PERIOD = 2 * SECOND  # how long a version is new; long enough to reach gateways that pushes missed
MAX_PUSH_BYTES = 1_100  # changes in one datagram, so that no network fragments it

# Fetching
MAX_DATAGRAM_VERSION_GAP = 4  # a gateway further behind uses an exchange
DATAGRAM_REPLY_TIMEOUT = 300 * MILLI  # one and a half times the longest round trip
EXCHANGE_TIMEOUT = 3 * SECOND  # for one exchange, with a lost segment or two
FAILURE_PAUSE = 250 * MILLI  # after a failed exchange
MAX_CHANGES_FAILURES = 4  # failed requests for changes before the complete document is requested
MAX_PART_FAILURES = 3  # failed requests to a source that has sent parts, before another source is asked
MAX_FETCH_FAILURES = 8  # failed requests before a fetch ends; the next announcement starts another one
MAX_OTHER_SOURCES = 4  # peers with the newer version, beside the one that is asked
MAX_BUSY_WAIT = 5 * SECOND  # longest delay that the answer of a busy source may cause
BUSY_PAUSE = 500 * MILLI  # before another source is asked if one is busy
MAX_DOCUMENT_BYTES = 4 << 20  # one complete encoded document

# Answering pulls
MAX_LOG_CHANGES = 64  # changes stored for gateways that are behind: two minutes at 46,000 a day
MAX_LOG_BYTES = 64 << 10
MAX_CHANGES_BYTES = 8 << 10  # changes in one answer to a pull
MAX_PART_BYTES = 8 << 10  # part of a complete document in one answer to a pull
MAX_SNAPSHOTS = 2  # complete encoded documents cached for gateways that fetch them in parts
SNAPSHOT_REUSE_TIME = 30 * SECOND  # how long a cached document is sent to further gateways

# Budgets; the rates for messages and for answers are together about 4 kB per second
MESSAGE_BYTES_PER_SECOND = 2_000  # datagrams and pulls
MESSAGE_BURST_BYTES = 8_000
ANSWER_BYTES_PER_SECOND = 2_000  # answers to pulls
# Two complete cell tables of 490 cells, so that after a long partition the number of gateways with the table
# doubles at each step
ANSWER_BURST_BYTES = 48_000

# Views
MAX_VIEW_NEIGHBOURS = 24  # gateways of the same cell
MAX_VIEW_ENTRY_GATEWAYS = 32  # entry gateways of other cells
MAX_VIEW_CONFIGURED_PEERS = 8
MIN_OUTSIDE_PUSHES = 8  # pushes of each change to other cells, by all gateways of a cell together

# Receiving
MAX_REJECTION_REASONS = 32  # reasons for rejection that are counted separately
PEER_MESSAGES_PER_SECOND = 20  # from one peer of the view; also the size of a burst
# From all other senders together; also the size of a burst
UNKNOWN_SENDER_MESSAGES_PER_SECOND = 100

# Announced versions of others
MAX_REPORTERS = 256  # gateways whose last announcement is stored
MAX_REPORT_AGE = 10 * SECOND  # an older announcement does not count
MAX_REPORTED_VERSIONS = 128  # versions for which the times of announcements are stored
