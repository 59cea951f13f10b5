"""The commands of the lease table, their results, and the encoding of both in log entries.

Logs and snapshots on disk contain the encoded commands. So the tags, the order of the fields and the bounds
must not change. All durations are ns.
"""

from collections.abc import Callable
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from gaproute.shared.messages import MAX_COUNT, Message, Name
from gaproute.units import MILLI, SECOND

MAX_LEASE_DURATION = 600 * SECOND  # bounds how long a dead holder blocks a resource
MIN_LEASE_DURATION = 100 * MILLI  # with shorter leases the renewals would cost too much
CLOCK_ERROR_PER_MILLE = 10  # by which the rate of any clock may differ from true time (1%)
# The number of hosts in a large fleet; limits the state that one client can cause at the group
MAX_LEASES_PER_CLIENT = 1024

Amount = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Duration = Annotated[int, Meta(ge=MIN_LEASE_DURATION, le=MAX_LEASE_DURATION)]
FencingToken = Annotated[int, Meta(ge=0, le=1 << 62)]


class AcquireLease(Message, frozen=True, tag=1):
    """Acquires `amount` of the resource for `duration` ns. The amount of a resource without a pool is 1."""

    resource: Name
    holder: Name
    amount: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    duration: Duration


class RenewLease(Message, frozen=True, tag=2):
    """Renews the lease for `duration` ns, counted anew."""

    fencing_token: FencingToken
    holder: Name
    duration: Duration


class ReleaseLease(Message, frozen=True, tag=3):
    """Ends a lease that its holder no longer needs."""

    fencing_token: FencingToken
    holder: Name


class ResizePool(Message, frozen=True, tag=4):
    """Sets the size of the pool. While more than that is held, the group grants nothing new from the pool."""

    resource: Name
    holder: Name
    amount: Amount


class ExpireLease(Message, frozen=True, tag=5):
    """Ends a lease that has expired by the leader's clock; only the leader appends this command.

    `log_index`: of the entry that granted the lease or last renewed it.
    """

    fencing_token: FencingToken
    log_index: Amount


class CommandResult(Message, frozen=True):
    """The result of a command. `error`: why the command was rejected; empty if it was carried out."""

    error: Name = ""
    fencing_token: FencingToken = 0


ClientCommand: TypeAlias = AcquireLease | RenewLease | ReleaseLease | ResizePool
Command: TypeAlias = ClientCommand | ExpireLease

# Each decoder raises ValueError (`msgspec.ValidationError`) for values outside the bounds above.
decode_client_command: Callable[[bytes], ClientCommand] = msgspec.msgpack.Decoder(ClientCommand).decode
decode_command: Callable[[bytes], Command] = msgspec.msgpack.Decoder(Command).decode
decode_result: Callable[[bytes], CommandResult] = msgspec.msgpack.Decoder(CommandResult).decode
encode: Callable[[object], bytes] = msgspec.msgpack.encode


def expiry_wait(duration: int, error_per_mille: int = CLOCK_ERROR_PER_MILLE) -> int:
    """How long the leader waits by its clock before it expires a lease of `duration` by the holder's clock.

    Both are ns. With a clock error of b, the rate of the holder's clock is at least 1-b, so the lease lasts
    at most duration/(1-b) of true time. The rate of the leader's clock is at most 1+b, so the wait lasts at
    least expiry_wait/(1+b). The wait is duration*(1+3b), as (1+3b)(1-b) >= 1+b for every b <= 1/3.
    """
    return duration + -(-duration * 3 * error_per_mille // 1000)
