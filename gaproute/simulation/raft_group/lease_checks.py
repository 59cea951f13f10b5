"""What must hold of valid leases at one moment of true time, which no process knows."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple, Protocol, cast

from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.shared.raft import RaftNode
from gaproute.simulation.options import LeaderFinder, no_leader
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.simulation import Simulation


class LeaseHolder(Protocol):
    """A process that holds leases."""

    @property
    def requests(self) -> Sequence[LeaseRequest]:
        """Its leases, requested and held."""


class HeldLease(NamedTuple):
    """A lease that is valid by its holder's own clock."""

    holder: ProcessSlot
    request: LeaseRequest


class LeaseValidityCheck:
    """A check after each step, made when a holder has acted: in between a lease can only expire.

    What all holders may do at one moment, each by its own clock, is never more than there is, and whoever
    holds a resource later has the greater fencing token. `pools`: all sizes that a pool is given; every other
    resource has one holder. `leader` finds the leader and `leaders` has the terms with one, where they are
    known: a lease must expire at its holder before it does at the leader.
    """

    def __init__(
        self,
        holders: Iterable[str],
        pools: Mapping[str, Sequence[int]],
        leader: LeaderFinder = no_leader,
        leaders: Iterable[int] = (),
    ) -> None:
        self.holders, self.leader, self.leaders = dict.fromkeys(holders), leader, leaders
        self.pool_sizes = {name: max(sizes) for name, sizes in pools.items()}
        self._tokens: dict[str, int] = {}  # by resource: the greatest that was held

    def __call__(self, simulation: Simulation, slot: ProcessSlot) -> Iterator[str]:
        """Looks at the leases of all holders."""
        if slot.name not in self.holders:
            return
        leader = self._followed_leader(simulation)
        held = list(self._held(simulation))
        yield from self._check_amounts(held)
        for lease in held:
            if lease.request.resource not in self.pool_sizes:
                yield from self._check_token(lease)
            if leader is not None:
                yield from self._check_expiry(lease, leader)

    def _held(self, simulation: Simulation) -> Iterator[HeldLease]:
        for name in self.holders:
            slot = simulation.slots[name]
            if slot.process is None:
                continue
            own_time = slot.clock.own_time(simulation.now)
            for request in cast(LeaseHolder, slot.process).requests:
                if request.is_valid_at(own_time):
                    yield HeldLease(slot, request)

    def _followed_leader(self, simulation: Simulation) -> ProcessSlot | None:
        """None also where another has led a later term: nothing that the old leader says is agreed on."""
        slot = self.leader(simulation.slots)
        if slot is None or not isinstance(slot.process, RaftNode):
            return None
        return slot if slot.process.term == max(self.leaders, default=0) else None

    def _check_amounts(self, held: Iterable[HeldLease]) -> Iterator[str]:
        amounts: dict[str, int] = {}
        for _, request in held:
            amounts[request.resource] = amounts.get(request.resource, 0) + request.amount
        for resource, amount in amounts.items():
            if amount > self.pool_sizes.get(resource, 1):
                yield f"{names.ONE_HOLDER}: {amount} of {resource} held"

    def _check_token(self, lease: HeldLease) -> Iterator[str]:
        resource, token = lease.request.resource, lease.request.fencing_token
        before = self._tokens.get(resource, 0)
        if token < before:
            yield f"{names.TOKENS_GROW}: {lease.holder.name}, {resource} by {token} after {before}"
        self._tokens[resource] = token

    @staticmethod
    def _check_expiry(lease: HeldLease, leader: ProcessSlot) -> Iterator[str]:
        token, expires_at = lease.request.fencing_token, lease.request.expires_at
        node = leader.process
        if not isinstance(node, RaftNode) or node.leader_state is None or expires_at is None:
            return
        timers = node.leader_state.timers
        if not isinstance(timers, ExpiryTimers) or token not in timers.deadlines:
            return
        at_leader = leader.clock.true_time(timers.deadlines[token][1])
        at_holder = lease.holder.clock.true_time(expires_at)
        if at_leader is not None and at_holder is not None and at_leader < at_holder:
            yield f"{names.CLIENT_EXPIRES_FIRST}: {lease.holder.name} after {leader.name}, {token}"
