"""Loads and drops of copies that one gateway orders, so that hosts have the weights that rollouts need."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from gaproute.rollouts.copy_exchange import CopyOrderKind, CopyPlacement, plan_exchange
from gaproute.rollouts.dispatcher import RolloutDispatcher
from gaproute.rollouts.load_limiter import RolloutLoadLimiter
from gaproute.rollouts.weight_versions import WeightVersions
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.simulation.campaigns.host_views import HostView, HostViews
from gaproute.simulation.campaigns.messages import Copy, DropCopy, LoadCopy
from gaproute.simulation.process_slot import Outbox, OutgoingMessages
from gaproute.units import SECOND

EXCHANGE = "rollouts/exchange"  # the pool of leases that hosts without room for two copies need
EXCHANGE_LEASE_TIME = 10 * SECOND
MAX_LOADS, LOAD_WINDOW = 3, 2 * SECOND  # orders in a window
MAX_LOAD_TIME = 20 * SECOND  # until a load without an answer counts as ended
MAX_VIEW_AGE = SECOND  # a host that answered before that gets no orders


class PendingLoad(NamedTuple):
    """A load that was ordered. `lease`: what an exchange needs, else None."""

    copy: Copy
    lease: LeaseRequest | None
    ordered_at: int


class CopyLoader:
    """Orders loads as `planned` says: the hosts that shall have a copy, by campaign."""

    def __init__(
        self, leases: LeaseClient, dispatcher: RolloutDispatcher, weights: WeightVersions, views: HostViews
    ) -> None:
        self.leases, self.dispatcher, self.weights, self.views = leases, dispatcher, weights, views
        self.limiter = RolloutLoadLimiter(None, MAX_LOADS, LOAD_WINDOW)
        self.planned: Mapping[str, Sequence[str]] = {}
        self._pending: dict[str, PendingLoad] = {}  # by host

    def step(self, now: int) -> OutgoingMessages:
        """Orders what is to be loaded and dropped now."""
        for host in [host for host, load in self._pending.items() if now - load.ordered_at > MAX_LOAD_TIME]:
            self.record_end(now, host, None)
        outgoing: Outbox = []
        for campaign, hosts in self.planned.items():
            outgoing += self._begin_exchange(now, campaign, hosts)
        for host, load in list(self._pending.items()):
            outgoing += self._follow(now, host, load)
        return outgoing

    def record_end(self, now: int, host: str, copy: Copy | None) -> None:
        """The load at the host has ended; None: without a copy."""
        load = self._pending.pop(host, None)
        if load is not None:
            self.limiter.record_ended(now, loaded=copy is not None)
            if load.lease is not None:
                self.leases.release(now, load.lease)

    def _begin_exchange(self, now: int, campaign: str, hosts: Sequence[str]) -> list[tuple[str, DropCopy]]:
        """Drops copies that serve nobody, and begins loads of the campaign."""
        views = self._current_views(now, hosts)
        copies = {
            host: [copy.version for copy in sorted(view.copies) if copy.campaign == campaign]
            for host, view in views.items()
        }
        loading = [
            host
            for host, view in views.items()
            if host in self._pending or any(copy.campaign == campaign for copy in view.loading)
        ]
        free = {host: view.free_room for host, view in views.items()}
        placement = CopyPlacement(list(views), copies, loading, free)
        outgoing = []
        for kind, host, version in plan_exchange(1, self.weights.usable(campaign), placement):
            if kind == CopyOrderKind.DROP:
                outgoing.append((host, DropCopy(Copy(campaign, version))))
            elif host not in self._pending and self.limiter.allows(now):
                needs_lease = kind == CopyOrderKind.SWAP
                lease = self.leases.acquire(now, EXCHANGE, EXCHANGE_LEASE_TIME) if needs_lease else None
                self._pending[host] = PendingLoad(Copy(campaign, version), lease, now)
                self.limiter.record_ordered()
        return outgoing

    def _current_views(self, now: int, hosts: Sequence[str]) -> dict[str, HostView]:
        """The hosts of which this gateway has a part, and that answered lately."""
        views = self.views.by_host
        return {
            host: views[host]
            for host in hosts
            if host in self.dispatcher.allotments
            and host in views
            and now - views[host].asked_at < MAX_VIEW_AGE
        }

    def _follow(self, now: int, host: str, load: PendingLoad) -> Outbox:
        """Orders the load again until it is under way, once its lease is held."""
        copy, lease, _ = load
        if lease is not None and not lease.is_open:
            self.record_end(now, host, None)
            return []
        view = self.views.by_host.get(host)
        if view is None or lease is not None and not lease.is_valid_at(now):
            return []
        if copy in view.copies:
            self.record_end(now, host, copy)
            return []
        if copy in view.loading:
            return []
        if view.free_room >= 1:
            return [(host, LoadCopy(copy))]
        old = min((each for each in view.copies if each.campaign == copy.campaign), default=None)
        return [] if old is None else [(host, DropCopy(old))]
