"""Paces, budgets and bounds of the dissemination. Times in nanoseconds, sizes in bytes."""

MILLISECOND, SECOND = 1_000_000, 1_000_000_000

# Sending
FANOUT = 4  # peers that a newer version is pushed to: pushes miss 1 in 50 without loss
ANNOUNCE_INTERVAL = SECOND  # between two announcements at rest
EAGER_INTERVAL = 200 * MILLISECOND  # between two while a version is new
EAGER_TIME = 2 * SECOND  # that a version is new: what pushes missed is sent within that
PUSH_BYTES = 1_100  # of changes in one datagram: unfragmented everywhere

# Fetching
MAX_DATAGRAM_GAP = 4  # versions behind, up to which changes are asked for by datagram
REPLY_TIME = 300 * MILLISECOND  # for a datagram that was asked for: the longest round trip and a half
EXCHANGE_TIME = 3 * SECOND  # for one exchange: a lost segment or two
FAILURE_PAUSE = 250 * MILLISECOND  # after an exchange that failed
MAX_CHANGES_FAILURES = 4  # after which the whole document is asked for
MAX_PART_FAILURES = 3  # of a source that gave parts of a whole document
MAX_FAILURES = 8  # of one fetch; the next announcement begins another
MAX_SOURCES = 4  # further peers remembered that have the newer version
MAX_WAIT = 5 * SECOND  # for which a busy source may put a fetch off
BUSY_PAUSE = 500 * MILLISECOND  # before another source is asked where one was busy
MAX_WHOLE = 4 << 20  # of a whole document, encoded

# Answering pulls
LOG_CHANGES = 64  # changes kept for those a little behind: two minutes at 46,000 a day
LOG_BYTES = 64 << 10
ANSWER_BYTES = 8 << 10  # of changes in one answer to a pull
PART_BYTES = 8 << 10  # of a whole document in one answer
MAX_SNAPSHOTS = 2  # whole documents cached for those that fetch them in parts
SNAPSHOT_TIME = 30 * SECOND  # that one is given to further askers

# Budgets: 4 KB/s hold both
MESSAGE_RATE = 2_000  # a second, for datagrams and pulls
MESSAGE_BURST = 8_000
SERVE_RATE = 2_000  # a second, for answers to pulls
SERVE_BURST = 48_000  # two whole tables of 490 cells: after a long cut those who have it double each time

# Views
VIEW_NEIGHBOURS = 24  # gateways of the own cell
VIEW_ENTRIES = 32  # entry gateways of other cells
VIEW_CONFIGURED = 8
MIN_OUTSIDE_PUSHES = 8  # pushes for each change that leave a cell at least, of all its gateways together

# Receiving
MAX_REASONS = 32  # of rejection that are counted apart
PEER_RATE = 20  # messages a second from one peer of the view, as many again at once
UNKNOWN_SENDER_RATE = 100  # messages a second from all others together, as many again at once

# What others announced of their versions
MAX_REPORTERS = 256  # gateways whose last announcement is kept
REPORT_TIME = 10 * SECOND  # for which an announcement counts
MAX_REPORTED_VERSIONS = 128  # versions of which it is kept when they were announced
