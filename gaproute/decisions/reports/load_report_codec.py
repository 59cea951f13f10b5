"""A host's load report in the few bytes that gateways send each other: the same on sockets and in simulation.

Two bytes stand for the host's name, by a hash, and one for each figure, as the price counts bytes times
receivers. A host whose bytes also stand for another is neither reported nor understood.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from gaproute.interface import Report

MARK_BYTES = 2  # that stand for a host
MAX_BYTE = 255
SHARES = ("cpu_busy", "memory_busy")  # figures from 0 to 1, sent as parts of 255


def host_mark(name: str) -> bytes:
    """The bytes that stand for a host."""
    return blake2b(name.encode(), digest_size=MARK_BYTES).digest()


class LoadReportCodec:
    """`reported`: names of the figures that health checks report."""

    def __init__(self, reported: Collection[str]) -> None:
        self.figures = tuple(name for name in Report._fields if name in reported)
        self.size = MARK_BYTES + len(self.figures)  # bytes of a report
        self._marks: dict[str, bytes] = {}  # by host
        self._hosts: dict[bytes, str | None] = {}  # by mark; None where one stands for two

    def set_hosts(self, names: Iterable[str]) -> None:
        """Takes the hosts of which reports are sent and understood."""
        self._marks = {name: self._marks.get(name) or host_mark(name) for name in names}
        self._hosts = {}
        for name, mark in self._marks.items():
            self._hosts[mark] = None if mark in self._hosts else name

    def encode(self, name: str, report: Report) -> bytes | None:
        """The bytes of a report, None where there are none for this host."""
        mark = self._marks.get(name)
        if mark is None or self._hosts.get(mark) != name:
            return None
        return mark + bytes([_encode_figure(figure, getattr(report, figure)) for figure in self.figures])

    def decode(self, data: bytes) -> tuple[str, Report] | None:
        """The host and its report, None where the bytes cannot be used."""
        name = self._hosts.get(bytes(data[:MARK_BYTES]))
        if len(data) != self.size or name is None:
            return None
        figures = zip(self.figures, data[MARK_BYTES:], strict=True)
        return name, Report(**{figure: _decode_figure(figure, value) for figure, value in figures})


def _encode_figure(figure: str, value: float | None) -> int:
    scale = MAX_BYTE if figure in SHARES else 1
    return min(MAX_BYTE, max(0, round((value or 0) * scale)))


def _decode_figure(figure: str, value: int) -> float:
    return value / MAX_BYTE if figure in SHARES else value
