"""The times of the group, in ns. They affect how soon it acts, never its safety."""

from gaproute.units import MILLISECOND, SECOND

# Between a leader's messages: a fifth of the shortest election timeout.
HEARTBEAT_INTERVAL = 200 * MILLISECOND
# Without a leader's message until an election, at least; as long again by chance. Far above a late turn, a
# sync and a round trip, below any lease's duration.
ELECTION_TIMEOUT = SECOND
# Without a majority's answers until a leader steps down: the longest wait for an election.
QUORUM_TIMEOUT = 2 * SECOND
# Until a snapshot that was not acknowledged is sent again: it is large.
SNAPSHOT_RESEND_INTERVAL = 2 * SECOND
# Between changes of the members: two nodes that claim one name must not fill the log.
MEMBERSHIP_CHANGE_INTERVAL = 2 * SECOND
# Until a disk that failed is written anew.
STORAGE_RETRY_INTERVAL = 5 * SECOND
