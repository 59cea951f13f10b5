"""Encodes load reports of hosts in a few bytes, for messages between gateways on sockets and in simulation.

Two bytes, a hash, identify the host, and one byte is used for each figure, as the price counts bytes times
receivers. A host whose bytes also identify another host is neither sent nor decoded.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from gaproute.interface import HostLoadReport

MARK_BYTES = 2  # bytes that identify a host
MAX_BYTE = 255
SHARES = ("cpu_busy", "memory_busy")  # figures from 0 to 1, sent in units of 1/255


def host_mark(name: str) -> bytes:
    """The bytes that identify a host."""
    return blake2b(name.encode(), digest_size=MARK_BYTES).digest()


class LoadReportCodec:
    """`reported`: the names of the figures that health checks report."""

    def __init__(self, reported: Collection[str]) -> None:
        self.figures = tuple(name for name in HostLoadReport._fields if name in reported)
        self.size = MARK_BYTES + len(self.figures)  # bytes of an encoded report
        self._marks: dict[str, bytes] = {}  # by host
        self._hosts: dict[bytes, str | None] = {}  # by mark; None if it identifies two hosts

    def set_hosts(self, names: Iterable[str]) -> None:
        """Takes over the hosts whose reports are sent and decoded."""
        self._marks = {name: self._marks.get(name) or host_mark(name) for name in names}
        self._hosts = {}
        for name, mark in self._marks.items():
            self._hosts[mark] = None if mark in self._hosts else name

    def encode(self, name: str, report: HostLoadReport) -> bytes | None:
        """The bytes of a report; None if the host cannot be identified."""
        mark = self._marks.get(name)
        if mark is None or self._hosts.get(mark) != name:
            return None
        return mark + bytes([_encode_figure(figure, getattr(report, figure)) for figure in self.figures])

    def decode(self, data: bytes) -> tuple[str, HostLoadReport] | None:
        """(host, report) of the bytes; None if they cannot be used."""
        name = self._hosts.get(bytes(data[:MARK_BYTES]))
        if len(data) != self.size or name is None:
            return None
        figures = zip(self.figures, data[MARK_BYTES:], strict=True)
        return name, HostLoadReport(**{figure: _decode_figure(figure, value) for figure, value in figures})


def _encode_figure(figure: str, value: float | None) -> int:
    scale = MAX_BYTE if figure in SHARES else 1
    return min(MAX_BYTE, max(0, round((value or 0) * scale)))


def _decode_figure(figure: str, value: int) -> float:
    return value / MAX_BYTE if figure in SHARES else value
