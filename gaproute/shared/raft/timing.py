"""The times of the group, in ns. They affect how soon it acts, never its safety."""

from gaproute.units import MILLI, SECOND

# Between two messages of a leader to a follower: a fifth of the shortest election timeout.
HEARTBEAT_INTERVAL = 200 * MILLI
# A follower without messages of a leader begins an election after this time and a random part of it. Far
# above a late turn, a sync and a round trip; below the usual durations of leases.
ELECTION_TIMEOUT = SECOND
# A leader without answers of a majority steps down after this time: the longest wait for an election.
QUORUM_TIMEOUT = 2 * SECOND
# A snapshot that was not acknowledged is sent again after this time, as it is large.
SNAPSHOT_RESEND_INTERVAL = 2 * SECOND
# Between two changes of the members, so that two nodes that claim one name do not fill the log.
MEMBERSHIP_CHANGE_INTERVAL = 2 * SECOND
# A disk that failed is written anew after this time.
STORAGE_RETRY_INTERVAL = 5 * SECOND
