"""Intervals, budgets and bounds of the dissemination. Times are nanoseconds, sizes bytes."""

from gaproute.units import MILLI, SECOND

# Sending
FANOUT = 4  # peers to which a newer version is pushed; without loss the pushes miss 1 gateway in 50
ANNOUNCE_INTERVAL = SECOND  # between two announcements when nothing is new
EAGER_INTERVAL = 200 * MILLI  # between two announcements while a version is new
EAGER_PERIOD = 2 * SECOND  # how long a version counts as new: time to reach gateways that the pushes missed
MAX_PUSH_BYTES = 1_100  # of changes in one datagram, so that it is not fragmented on any network

# Fetching
MAX_DATAGRAM_VERSION_GAP = 4  # versions behind, up to which changes are requested by datagram
DATAGRAM_REPLY_TIMEOUT = 300 * MILLI  # one and a half times the longest round trip
EXCHANGE_TIMEOUT = 3 * SECOND  # for one exchange, with a lost segment or two
FAILURE_PAUSE = 250 * MILLI  # after a failed exchange
MAX_CHANGES_FAILURES = 4  # of requests for changes, after which the complete document is requested
MAX_PART_FAILURES = 3  # after which a source that has sent parts of a complete document is given up
MAX_FETCH_FAILURES = 8  # after which a fetch ends; the next announcement begins another one
MAX_OTHER_SOURCES = 4  # stored peers that have the newer version, beside the one that is asked
MAX_BUSY_WAIT = 5 * SECOND  # longest time by which a busy source may delay a fetch
BUSY_PAUSE = 500 * MILLI  # before another source is asked after a busy one
MAX_DOCUMENT_BYTES = 4 << 20  # of a complete document, encoded

# Answering pulls
MAX_LOG_CHANGES = 64  # changes stored for gateways that are a little behind: two minutes at 46,000 a day
MAX_LOG_BYTES = 64 << 10
MAX_CHANGES_BYTES = 8 << 10  # of changes in one answer to a pull
MAX_PART_BYTES = 8 << 10  # of a complete document in one answer
MAX_SNAPSHOTS = 2  # complete documents cached for gateways that fetch them in parts
SNAPSHOT_REUSE_TIME = 30 * SECOND  # how long a cached document is given to further gateways

# Budgets: both together use about 4 KB per second
MESSAGE_BYTES_PER_SECOND = 2_000  # per second, for datagrams and pulls
MESSAGE_BURST_BYTES = 8_000
ANSWER_BYTES_PER_SECOND = 2_000  # per second, for answers to pulls
# Two complete tables of 490 cells, so that after a long partition the number of gateways that have the table
# doubles at each step
ANSWER_BURST_BYTES = 48_000

# Views
MAX_VIEW_NEIGHBOURS = 24  # gateways of the own cell
MAX_VIEW_ENTRY_GATEWAYS = 32  # entry gateways of other cells
MAX_VIEW_CONFIGURED_PEERS = 8
MIN_OUTSIDE_PUSHES = 8  # least pushes of each change that leave a cell, by all its gateways together

# Receiving
MAX_REJECTION_REASONS = 32  # reasons for rejection that are counted separately
PEER_MESSAGES_PER_SECOND = 20  # messages per second from one peer of the view, and as many more in one burst
# Messages per second from all other senders together, and as many more in one burst
UNKNOWN_SENDER_MESSAGES_PER_SECOND = 100

# Announced versions of others
MAX_REPORTERS = 256  # gateways whose last announcement is stored
MAX_REPORT_AGE = 10 * SECOND  # how long an announcement counts
MAX_REPORTED_VERSIONS = 128  # versions for which the times of announcements are stored
