"""What a gateway knows of the hosts, by their answers to its queries."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.simulation.campaigns.messages import Copy, HostStatus, StatusQuery
from gaproute.simulation.campaigns.scene import Numbers
from gaproute.units import SECOND

MAX_QUERY_TIME = SECOND  # an answer that comes later is not taken


class HostView(NamedTuple):
    """A host as of when it was asked, by the gateway's clock."""

    asked_at: int
    copies: frozenset[Copy]
    loading: frozenset[Copy]
    free_room: int


class _Query(NamedTuple):
    host: str
    asked_at: int


class HostViews:
    """`by_host` has the last answer of each host. `numbers` gives queries their numbers."""

    def __init__(self, numbers: Numbers) -> None:
        self.by_host: dict[str, HostView] = {}
        self._numbers = numbers
        self._queries: dict[int, _Query] = {}

    def query(self, now: int, hosts: Iterable[str]) -> list[tuple[str, StatusQuery]]:
        """Asks the hosts for their status."""
        outgoing = []
        for host in hosts:
            number = self._numbers.next()
            self._queries[number] = _Query(host, now)
            outgoing.append((host, StatusQuery(number)))
        return outgoing

    def expire(self, now: int) -> None:
        """Forgets queries whose answer would come too late."""
        old = [number for number, query in self._queries.items() if now - query.asked_at > MAX_QUERY_TIME]
        for number in old:
            del self._queries[number]

    def take(self, host: str, status: HostStatus) -> int | None:
        """When the host was asked for this answer; None where it is not waited for any more."""
        query = self._queries.pop(status.number, None)
        if query is None:
            return None
        self.by_host[host] = HostView(query.asked_at, status.copies, status.loading, status.free_room)
        return query.asked_at

    def forget_copy(self, host: str, copy: Copy) -> None:
        """The host has said that it does not have the copy."""
        if host in self.by_host:
            view = self.by_host[host]
            self.by_host[host] = view._replace(copies=view.copies - {copy})
