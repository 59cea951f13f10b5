"""The time limits of a Raft group, in ns. They affect how soon the group acts, never its safety."""

from gaproute.units import MILLI, SECOND

# The time between two heartbeats of a leader to a follower: a fifth of the shortest election timeout.
HEARTBEAT_INTERVAL = 200 * MILLI
# A follower that gets no messages from a leader starts an election after this time plus a random part of it.
# The time is far above a late loop turn, a sync and a round trip, and below the usual durations of leases.
ELECTION_TIMEOUT = SECOND
# A leader that gets no answers from a majority steps down after this time: the longest election timeout.
QUORUM_TIMEOUT = 2 * SECOND
# An unacknowledged snapshot is sent again only after this time, as a snapshot is large.
SNAPSHOT_RESEND_INTERVAL = 2 * SECOND
# The time between two membership changes, so that two nodes that claim one name do not fill the log.
MEMBERSHIP_CHANGE_INTERVAL = 2 * SECOND
# A failed disk is read or rewritten again after this time.
STORAGE_RETRY_INTERVAL = 5 * SECOND
