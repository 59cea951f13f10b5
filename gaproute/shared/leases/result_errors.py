"""The error texts of the results of lease commands.

They are stored in the replicated table of sessions, and members of two versions must give the same ones, so
they never change.
"""

NOT_UNDERSTOOD = "not understood"
NOT_THE_HOLDERS = "not the holder's own"
TOO_LONG = "too long a span"
NOT_EXPIRED = "not over"
NO_SUCH_LEASE = "gone"
INITIAL_WAIT = "quiet after founding"
TOO_MANY_LEASES = "too many permits"
TOO_MANY_POOLS = "too many pools"
ABOVE_POOL_SIZE = "more than there is"
TAKEN = "taken"
