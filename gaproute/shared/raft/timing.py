"""The times of the agreement, ns. They decide how soon it acts, never what is safe."""

MILLI, SECOND = 1_000_000, 1_000_000_000

HEARTBEAT_INTERVAL = 200 * MILLI  # between a leader's words: a fifth of what is waited for them at least
ELECTION_TIMEOUT = SECOND  # without a leader's word until an election, at least, as long again by chance: far
# above a late turn, a sync and a round trip, below any permit's span
QUORUM_TIMEOUT = (
    2 * SECOND
)  # without a majority's answers a leader steps down: the longest wait for an election
SNAPSHOT_RESEND_INTERVAL = 2 * SECOND  # until a snapshot that was not acknowledged is sent again: it is large
MEMBERSHIP_CHANGE_INTERVAL = (
    2 * SECOND
)  # between changes of members: two that claim one name must not fill the log
STORAGE_RETRY_INTERVAL = 5 * SECOND  # until a disk that failed is written anew
