"""The error texts in the results of lease commands.

The replicated session table stores these texts, and members of different versions must store the same texts.
So the texts never change.
"""

INVALID_COMMAND = "not understood"
SENDER_IS_NOT_HOLDER = "not the holder's own"
DURATION_TOO_LONG = "too long a span"
LEASE_NOT_EXPIRED = "not over"
NO_SUCH_LEASE = "gone"
IN_INITIAL_WAIT = "quiet after founding"
TOO_MANY_LEASES = "too many permits"
TOO_MANY_POOLS = "too many pools"
ABOVE_POOL_SIZE = "more than there is"
RESOURCE_TAKEN = "taken"
