"""Hosts of cells that come and go: a cell may be let go while a request is in flight there."""

from gaproute.core.in_flight import AttemptHandle
from gaproute.core.ports import OnProbeEnded
from gaproute.hosts.attempts import OnAttemptEnded, OnLoadOrderEnded, UnsentAttempt
from gaproute.hosts.kserve.client import KServeClient
from gaproute.interface import Idempotency, Result
from gaproute.interface.call import Call


class CellHostClient(KServeClient):
    """The hosts of the cells known. Nothing begins at hosts that went with their cell."""

    def _is_gone(self, host_name: str) -> bool:
        host = self.hosts.get(host_name)
        return host is None or not host.active

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        request: str,
        limit: int,
        until: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """As `KServeClient.send`; an attempt at a host that is gone is not sent."""
        if self._is_gone(host_name):
            return UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)
        return super().send(host_name, call, idempotency, request, limit, until, on_ended)

    def order(self, host_name: str, function: str, copies: int, on_ended: OnLoadOrderEnded) -> None:
        """As `KServeClient.order`; a host that is gone has no space."""
        if self._is_gone(host_name):
            self.loop.call_soon(on_ended, Result.FULL, 0)
        else:
            super().order(host_name, function, copies, on_ended)

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """As `KServeClient.probe`; of a host that is gone nothing is said."""
        if not self._is_gone(host_name):
            super().probe(host_name, on_ended)
