"""The commands of the lease table and their results, and their encoding in log entries.

The tags, the order of the fields and the bounds are a stored form: logs and snapshots on disk contain them.
All durations are ns.
"""

from collections.abc import Callable
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

from gaproute.shared.messages import MAX_COUNT, Message, Name
from gaproute.units import MILLI, SECOND

MAX_LEASE_DURATION = 600 * SECOND  # longest time for which a resource stays taken by a holder that died
MIN_LEASE_DURATION = 100 * MILLI  # with shorter durations the renewals would cost too much
CLOCK_ERROR_PER_MILLE = 10  # per mille by which any clock's rate may differ from true time (1%)
# The number of hosts in a large fleet; bounds the state that one client can cause
MAX_LEASES_PER_CLIENT = 1024

Amount = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Duration = Annotated[int, Meta(ge=MIN_LEASE_DURATION, le=MAX_LEASE_DURATION)]
FencingToken = Annotated[int, Meta(ge=0, le=1 << 62)]


class AcquireLease(Message, frozen=True, tag=1):
    """Grants `amount` of the resource (1 if it is no pool) for `duration` ns."""

    resource: Name
    holder: Name
    amount: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    duration: Duration


class RenewLease(Message, frozen=True, tag=2):
    """Renews the lease for `duration` ns from now on."""

    fencing_token: FencingToken
    holder: Name
    duration: Duration


class ReleaseLease(Message, frozen=True, tag=3):
    """Ends a lease that the holder does not need any more."""

    fencing_token: FencingToken
    holder: Name


class ResizePool(Message, frozen=True, tag=4):
    """Sets the size of the pool. If more is held, nothing new is granted until enough has been released."""

    resource: Name
    holder: Name
    amount: Amount


class ExpireLease(Message, frozen=True, tag=5):
    """From the leader alone: a lease, last granted or renewed by the entry at `log_index`, has expired by its
    clock.
    """

    fencing_token: FencingToken
    log_index: Amount


class CommandResult(Message, frozen=True):
    """`error` is empty if the command was carried out."""

    error: Name = ""
    fencing_token: FencingToken = 0


ClientCommand: TypeAlias = AcquireLease | RenewLease | ReleaseLease | ResizePool
Command: TypeAlias = ClientCommand | ExpireLease

# Each function raises ValueError (`msgspec.ValidationError`) for values outside the bounds above.
decode_client_command: Callable[[bytes], ClientCommand] = msgspec.msgpack.Decoder(ClientCommand).decode
decode_command: Callable[[bytes], Command] = msgspec.msgpack.Decoder(Command).decode
decode_result: Callable[[bytes], CommandResult] = msgspec.msgpack.Decoder(CommandResult).decode
encode: Callable[[object], bytes] = msgspec.msgpack.encode


def expiry_wait(duration: int, error_per_mille: int = CLOCK_ERROR_PER_MILLE) -> int:
    """How long the group keeps a resource taken that was granted for `duration`; both ns of the own clocks.

    With a clock error of b, the holder's clock runs at 1-b at least, so its lease lasts duration/(1-b) at
    most; the leader's clock runs at 1+b at most, so its wait lasts expiry_wait/(1+b) at least. (1+3b)(1-b) >=
    1+b for every b <= 1/3.
    """
    return duration + -(-duration * 3 * error_per_mille // 1000)
