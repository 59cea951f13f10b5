"""Exchanges load reports with the other gateways of the platform, by unacknowledged datagrams."""

from collections.abc import Callable

from gaproute.loop import Loop
from gaproute.loop.datagrams import DatagramSocket
from gaproute.loop.faults import Backoff
from gaproute.loop.timers import Timer
from gaproute.platform.configuration import Configuration
from gaproute.platform.log import Log
from gaproute.units import MILLI, SECOND

BIND_BACKOFF, MAX_BIND_BACKOFF = 50 * MILLI, 5 * SECOND


class PeerReportSocket:
    """The socket on which this gateway sends its load reports and receives the reports of other gateways.

    Without the socket a gateway relies on its own health checks, so a gateway whose address cannot be bound
    starts anyway and retries the binding.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        configuration: Callable[[], Configuration],
        on_report: Callable[[bytes], None],
    ) -> None:
        """`configuration()` returns the current configuration with the addresses to bind and to send to."""
        self.loop, self.log = loop, log
        self.configuration, self.on_report = configuration, on_report
        self.datagrams: DatagramSocket | None = None  # None until the address is bound
        self.retry_timer: Timer | None = None
        self.backoff = Backoff(BIND_BACKOFF, MAX_BIND_BACKOFF)

    def open(self) -> None:
        """Binds the socket to its address; retries with backoff after a failure."""
        self.retry_timer = None
        listen = self.configuration().peer_listen
        try:
            self.datagrams = DatagramSocket(self.loop, listen, self.on_report)
        except OSError as error:
            if not self.backoff.has_failed:
                self.log.warning("peer_socket_unavailable", listen_address=listen, error=str(error))
            self.retry_timer = self.loop.call_later(self.backoff.next_pause(), self.open)
            return
        if self.backoff.has_failed:
            self.log.info("peer_socket_bound", listen_address=listen)

    def send(self, payload: bytes) -> None:
        """Sends a report to all other gateways; the datagram may be lost."""
        if self.datagrams is not None:
            self.datagrams.send(payload, self.configuration().peers_all)

    def close(self) -> None:
        """Closes the socket and cancels a pending retry."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.datagrams is not None:
            self.datagrams.close()
