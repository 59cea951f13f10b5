"""The client of hosts whose cells are added and removed while the gateway runs.

A cell may be removed while a request is in flight at one of its hosts.
"""

from gaproute.core.in_flight import AttemptHandle
from gaproute.core.ports import OnProbeEnded
from gaproute.hosts.attempts import OnAttemptEnded, OnLoadOrderEnded, UnsentAttempt
from gaproute.hosts.kserve.client import KServeClient
from gaproute.interface import Idempotency, Result
from gaproute.interface.call import Call


class CellHostClient(KServeClient):
    """Sends to the hosts of the known cells, and nothing to a host that was removed with its cell."""

    def _is_unavailable(self, host_name: str) -> bool:
        host = self.hosts.get(host_name)
        return host is None or not host.active

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        gateway_request_id: str,
        deadline: int,
        start_before: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """Sends an attempt as `KServeClient.send` does; an attempt at an unavailable host is not sent."""
        if self._is_unavailable(host_name):
            return UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)
        return super().send(
            host_name, call, idempotency, gateway_request_id, deadline, start_before, on_ended
        )

    def order(self, host_name: str, function: str, instance_count: int, on_ended: OnLoadOrderEnded) -> None:
        """Sends a load order as `KServeClient.order` does; an unavailable host counts as full."""
        if self._is_unavailable(host_name):
            self.loop.call_soon(on_ended, Result.FULL, 0)
        else:
            super().order(host_name, function, instance_count, on_ended)

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """Sends a probe as `KServeClient.probe` does; `on_ended` is not called for an unavailable host."""
        if not self._is_unavailable(host_name):
            super().probe(host_name, on_ended)
