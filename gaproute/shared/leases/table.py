"""The lease table: the state machine to which the members of the Raft group apply their log.

The table has no clock and no randomness, so its state is the same at all members. A lease ends only by an
entry of the log: its holder releases it, or the leader expires it. The leader's command names the entry that
granted the lease or last renewed it, so the command has no effect if a renewal precedes it in the log.
"""

from typing import NamedTuple

import msgspec

from gaproute.shared.leases import result_errors
from gaproute.shared.leases.commands import (
    MAX_LEASE_DURATION,
    AcquireLease,
    ClientCommand,
    CommandResult,
    ExpireLease,
    ReleaseLease,
    RenewLease,
    ResizePool,
    decode_client_command,
    decode_command,
    encode,
    expiry_wait,
)
from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.messages import Message
from gaproute.shared.raft.state_machine import DeadlineChange

# Leases held at the same time: enough for the maintenance of hosts and the lent capacity of a large fleet;
# each takes 200 bytes
MAX_LEASES = 4096
MAX_POOLS = 4096  # resources with a size other than 1, such as hosts whose capacity is lent
INITIAL_WAIT_TOKEN = 0  # `ExpireLease` with this token ends the initial wait; no lease has the token


class Lease(Message, frozen=True):
    """A lease that is held. `log_index`: of the entry that granted the lease or last renewed it."""

    fencing_token: int
    resource: str
    holder: str
    amount: int
    duration: int
    log_index: int


class Pool(NamedTuple):
    """A resource of which `size` may be held in total.

    `held_above_size`: the total amount held, if it is above `size` because the pool was resized; otherwise 0.
    """

    size: int
    held_above_size: int


DEFAULT_POOL = Pool(1, 0)  # of a resource that was never resized


class LeaseTableState(Message, frozen=True):
    """The state of the lease table as a snapshot stores it."""

    last_token: int
    initial_wait: bool
    leases: list[Lease]
    pools: list[tuple[str, int, int]]


_decode_state = msgspec.msgpack.Decoder(LeaseTableState).decode


class LeaseTable:
    """The leases and pools of a group.

    `initial_wait`: no lease is granted until the leader has waited for the longest duration. A log starts
    anew only at the first start of a group, which pays for the wait, or if all disks were lost; in that case
    clients may still hold leases of the old log. `max_duration`: the longest duration of a lease, ns. Both
    must be the same at all members.
    """

    def __init__(self, *, initial_wait: bool = True, max_duration: int = MAX_LEASE_DURATION) -> None:
        self.initial_wait, self.max_duration = initial_wait, max_duration
        self.last_token = 0  # the last fencing token that was granted
        self.leases: dict[int, Lease] = {}  # by fencing token
        self.amounts_held: dict[str, int] = {}  # total by resource
        self.pools: dict[str, Pool] = {}  # by resource
        self.last_change: DeadlineChange | None = None  # how the last entry changed a lease

    def pool_size(self, resource: str) -> int:
        """The total amount of the resource that may be held."""
        return self.pools.get(resource, DEFAULT_POOL).size

    def check(self, sender: str, body: bytes) -> str:
        """Why the leader rejects this command of `sender` instead of logging it; empty if it accepts it."""
        try:
            command = decode_client_command(body)
        except ValueError:
            return result_errors.INVALID_COMMAND
        if command.holder != sender:
            return result_errors.SENDER_IS_NOT_HOLDER
        if isinstance(command, AcquireLease | RenewLease) and command.duration > self.max_duration:
            return result_errors.DURATION_TOO_LONG
        return ""

    def raise_last_token(self, lowest: int) -> None:
        """Makes all later fencing tokens greater than `lowest`."""
        self.last_token = max(self.last_token, lowest)

    def apply(self, index: int, body: bytes, owner: str = "") -> bytes:
        """Applies the entry at `index`; returns the encoded `CommandResult`.

        `owner`: the owner of the session in which the command was sent; empty for a command of the leader.
        """
        self.last_change = None
        try:
            command = decode_command(body)
        except ValueError:
            return encode(CommandResult(result_errors.INVALID_COMMAND))
        if isinstance(command, ExpireLease):
            expired = not owner and self._expire_lease(command)
            return encode(CommandResult("" if expired else result_errors.LEASE_NOT_EXPIRED))
        if command.holder != owner:
            return encode(CommandResult(result_errors.SENDER_IS_NOT_HOLDER))
        return encode(self._execute_command(index, command))

    def _execute_command(self, index: int, command: ClientCommand) -> CommandResult:
        if isinstance(command, AcquireLease):
            return self._acquire_lease(index, command)
        if isinstance(command, ResizePool):
            return self._resize_pool(command)
        lease = self.leases.get(command.fencing_token)
        if lease is None or lease.holder != command.holder:
            return CommandResult(result_errors.NO_SUCH_LEASE)
        if isinstance(command, ReleaseLease):
            self._remove_lease(lease)
        elif isinstance(command, RenewLease):
            self._store_lease(msgspec.structs.replace(lease, duration=command.duration, log_index=index))
        return CommandResult("", lease.fencing_token)

    def _acquire_lease(self, index: int, command: AcquireLease) -> CommandResult:
        if self.initial_wait:
            return CommandResult(result_errors.IN_INITIAL_WAIT)
        if len(self.leases) >= MAX_LEASES:
            return CommandResult(result_errors.TOO_MANY_LEASES)
        held = self.amounts_held.get(command.resource, 0)
        if command.amount > self.pool_size(command.resource):
            return CommandResult(result_errors.ABOVE_POOL_SIZE)
        if held + command.amount > self.pool_size(command.resource):
            return CommandResult(result_errors.RESOURCE_TAKEN)
        self.last_token += 1
        self.amounts_held[command.resource] = held + command.amount
        lease = Lease(
            fencing_token=self.last_token,
            resource=command.resource,
            holder=command.holder,
            amount=command.amount,
            duration=command.duration,
            log_index=index,
        )
        self._store_lease(lease)
        return CommandResult("", self.last_token)

    def _store_lease(self, lease: Lease) -> None:
        """Stores a lease that is granted or renewed."""
        self.leases[lease.fencing_token] = lease
        self.last_change = DeadlineChange(lease.fencing_token, lease.log_index, expiry_wait(lease.duration))

    def _resize_pool(self, command: ResizePool) -> CommandResult:
        if command.resource not in self.pools and command.amount != 1 and len(self.pools) >= MAX_POOLS:
            return CommandResult(result_errors.TOO_MANY_POOLS)
        self.pools[command.resource] = Pool(command.amount, 0)
        self._update_pool(command.resource)
        return CommandResult()

    def _update_pool(self, resource: str) -> None:
        """Updates the pool after a change of its size or of the amount that is held."""
        held = self.amounts_held.get(resource, 0)
        size = self.pool_size(resource)
        if size == 1 and held <= 1:
            self.pools.pop(resource, None)  # `pool_size` gives the default
        elif resource in self.pools:
            self.pools[resource] = Pool(size, held if held > size else 0)

    def _expire_lease(self, command: ExpireLease) -> bool:
        """Expires a lease; returns False if an earlier entry renewed or ended it."""
        if command.fencing_token == INITIAL_WAIT_TOKEN:
            expired, self.initial_wait = self.initial_wait, False
            return expired
        lease = self.leases.get(command.fencing_token)
        if lease is None or lease.log_index != command.log_index:
            return False
        self._remove_lease(lease)
        return True

    def _remove_lease(self, lease: Lease) -> None:
        del self.leases[lease.fencing_token]
        self.last_change = DeadlineChange(lease.fencing_token, lease.log_index, None)
        remaining = self.amounts_held[lease.resource] - lease.amount
        if remaining:
            self.amounts_held[lease.resource] = remaining
        else:
            del self.amounts_held[lease.resource]
        self._update_pool(lease.resource)

    def pop_change(self) -> DeadlineChange | None:
        """Removes and returns the change to a lease by the last entry, if any."""
        change, self.last_change = self.last_change, None
        return change

    def start_timers(self, now: int) -> ExpiryTimers:
        """The expiry timers of a new leader for all leases, counted from `now`."""
        return ExpiryTimers(now, self.expiry_waits())

    def expiry_waits(self) -> list[DeadlineChange]:
        """For each lease, how long a new leader waits before it expires the lease."""
        waits = [
            DeadlineChange(lease.fencing_token, lease.log_index, expiry_wait(lease.duration))
            for lease in self.leases.values()
        ]
        if self.initial_wait:
            waits.insert(0, DeadlineChange(INITIAL_WAIT_TOKEN, 0, expiry_wait(self.max_duration)))
        return waits

    @staticmethod
    def expire_command(fencing_token: int, log_index: int) -> bytes:
        """The encoded command by which the leader expires a lease."""
        return encode(ExpireLease(fencing_token, log_index))

    def pack(self) -> bytes:
        """Encodes the complete state for a snapshot."""
        pools = [(resource, *pool) for resource, pool in self.pools.items()]
        return encode(LeaseTableState(self.last_token, self.initial_wait, list(self.leases.values()), pools))

    def unpack(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot. Errors: ValueError if `data` is no encoded state."""
        state = _decode_state(data)
        self.last_token, self.initial_wait = state.last_token, state.initial_wait
        self.leases = {lease.fencing_token: lease for lease in state.leases}
        self.pools = {
            resource: Pool(size, held_above_size) for resource, size, held_above_size in state.pools
        }
        self.amounts_held, self.last_change = {}, None
        for lease in state.leases:
            self.amounts_held[lease.resource] = self.amounts_held.get(lease.resource, 0) + lease.amount
