"""The table of hosts, maintained from the host list."""

from collections import OrderedDict
from collections.abc import Sequence

from gaproute.decisions.routing.host import Host
from gaproute.interface import ListedHost

MAX_DEPARTED_IDS = 1024  # remembered ids of departed hosts
# Hosts beyond the active ones at which departed hosts are forgotten with the next list, and not only by the
# next cleanup: lists may change faster.
MAX_INACTIVE_HOSTS = 256


class HostTable:
    """All hosts that are listed or have attempts in flight, with totals of the active ones."""

    def __init__(self, warm_up_time: int) -> None:
        self.warm_up_time = warm_up_time
        self.by_id: dict[str, Host] = {}
        self.active: list[Host] = []
        self.version = 0  # incremented when the list of active hosts changes
        self.departure_count = 0  # incremented when hosts are removed
        # Ids of removed hosts, of which functions may still hold entries: see `Host.returned_at`.
        self._departed_ids: OrderedDict[str, None] = OrderedDict()
        self.total_capacity, self.largest_capacity = 0.0, 1.0  # of the active hosts
        self.all_warm_at = -1  # time from which no active host warms up

    def update(self, now: int, rows: Sequence[ListedHost], *, complete: bool) -> None:
        """Applies a host list; if it is `complete`, hosts that it does not name are gone."""
        for row in rows:
            self._update_host(now, row)
        if complete:
            named = {row.host for row in rows}
            for host in self.by_id.values():
                host.active = host.active and host.id in named
        self._collect_active()
        if len(self.by_id) > len(self.active) + MAX_INACTIVE_HOSTS:
            self.remove_departed()

    def _update_host(self, now: int, row: ListedHost) -> None:
        host = self.by_id.get(row.host)
        if host is None:
            host = self.by_id[row.host] = Host(row, self.warm_up_time)
            if row.host in self._departed_ids:
                del self._departed_ids[row.host]
                host.returned_at = now
        elif row.started is not None and row.started != host.started:
            host.reset(row, now, host.in_flight)
        else:
            host.update_listing(row)

    def _collect_active(self) -> None:
        active = [host for host in self.by_id.values() if host.active]
        if active != self.active:  # an unchanged list keeps its version, and so the ranks of its hosts
            self.active = active
            self.version += 1
        for index, host in enumerate(self.active):
            host.index = index
        self.total_capacity = sum([host.capacity for host in self.active])
        self.largest_capacity = max([host.capacity for host in self.active], default=1.0)
        self.all_warm_at = max([host.warm_at for host in self.active], default=-1)

    def relative_capacity(self, host: Host) -> float:
        """Returns the capacity of the host divided by the mean of the active hosts, at most 1."""
        return min(1.0, host.capacity * len(self.active) / self.total_capacity)

    def remove_departed(self) -> None:
        """Forgets hosts that left the list and have no attempt in flight.

        Otherwise the table of a process that runs for a long time would grow with every replaced host.
        """
        departed = [host.id for host in self.by_id.values() if not (host.active or host.in_flight)]
        for host_id in departed:
            del self.by_id[host_id]
            self._departed_ids[host_id] = None
            if len(self._departed_ids) > MAX_DEPARTED_IDS:
                self._departed_ids.popitem(last=False)
        self.departure_count += bool(departed)
