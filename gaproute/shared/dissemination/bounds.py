"""Paces, budgets and bounds of the dissemination. Times in nanoseconds, sizes in bytes."""

MILLISECOND, SECOND = 1_000_000, 1_000_000_000

# Telling
FANOUT = 4  # peers that a newer version is pushed to: pushes miss 1 in 50 without loss
ANNOUNCE_INTERVAL = SECOND  # between two announcements at rest
EAGER_INTERVAL = 200 * MILLISECOND  # between two while a version is new
EAGER_TIME = 2 * SECOND  # that a version is new: what pushes missed is told within that
PUSH_BYTES = 1_100  # of changes in one datagram: unfragmented everywhere

# Fetching
NEAR = 4  # versions behind, up to which changes are asked for by datagram
REPLY_TIME = 300 * MILLISECOND  # for a datagram that was asked for: the longest round trip and a half
EXCHANGE_TIME = 3 * SECOND  # for one exchange: a lost segment or two
REST = 250 * MILLISECOND  # after an exchange that failed
PACED_TRIES = 4  # failed exchanges after which one asks as older gateways do
PUSH_INTERVAL = 500 * MILLISECOND  # between two pushes that are asked for
PART_TRIES = 3  # further ones of a source that gave parts of a whole document
TRIES = 8  # for one fetch; the next announcement begins another
SOURCES = 4  # further peers remembered that hold the newer version
LONGEST_WAIT = 5 * SECOND  # that a source may put a fetch off at once
BUSY_REST = SECOND  # before another source is asked where one was busy
PART_INTERVAL = 1_100 * MILLISECOND  # between two parts that are asked for: one in any second
MAX_WHOLE = 4 << 20  # of a whole document, encoded

# Serving
LOG_CHANGES = 64  # changes kept for those a little behind: two minutes at 46,000 a day
LOG_BYTES = 64 << 10
ANSWER_BYTES = OLDER_PART_BYTES = 8 << 10  # in one answer to an older gateway
PART_BYTES = 1 << 10  # of a whole document or of a difference in one answer
SPARE_PARTS = 3  # that are given again to one whose answers were lost
LEAST_PART = 256  # of one: for less, the asker is told to come again
BUSY_WAIT = SECOND  # for which it is sent away at least
INVITATION = 600 * MILLISECOND  # that whoever was told to ask is waited for
SNAPSHOTS = 2  # whole documents held for those that fetch them in parts
SNAPSHOT_TIME = 30 * SECOND  # that one is given to further askers

# Budgets over a longer time; what is sent in one second is bounded by `gaproute.shared.control_budget`
MESSAGE_RATE = 2_000  # a second, for datagrams and pulls
MESSAGE_BURST = 8_000
SERVE_RATE = 1_500  # a second, for answers to pulls
SERVE_BURST = 1_500  # one part: one asker is served after the other

# Views
VIEW_NEIGHBOURS = 24  # gateways of the own cell
VIEW_ENTRIES = 32  # entry gateways of other cells
VIEW_CONFIGURED = 8
LEAST_OUTSIDE = 8  # pushes for each change that leave a cell at least, of all its gateways together

# Intake
REASONS = 32  # of refusal that are counted apart
PEER_MESSAGES = 20  # a second from one peer of the view, as many again at once
STRANGER_MESSAGES = 100  # a second from all others together, as many again at once

# What was heard of others' versions
SIGHTINGS = 256  # gateways whose versions are remembered
SIGHTING_TIME = 10 * SECOND  # that a version heard counts
SIGHTING_VERSIONS = 128  # versions of which it is remembered when they were heard
