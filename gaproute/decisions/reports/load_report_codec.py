"""Encodes load reports of hosts in a few bytes, for messages between gateways on sockets and in simulation.

Two bytes, a hash, identify the host, and one byte is used for each figure, as the price counts bytes times
receivers. A host whose bytes also identify another host is neither sent nor decoded.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from gaproute.interface import Report

HOST_HASH_BYTES = 2  # bytes that identify a host
MAX_BYTE_VALUE = 255
FRACTION_FIGURES = ("cpu_busy", "memory_busy")  # figures from 0 to 1, sent in units of 1/255


def host_hash(name: str) -> bytes:
    """The bytes that identify a host."""
    return blake2b(name.encode(), digest_size=HOST_HASH_BYTES).digest()


class LoadReportCodec:
    """`reported`: the names of the figures that health checks report."""

    def __init__(self, reported: Collection[str]) -> None:
        self.figures = tuple(name for name in Report._fields if name in reported)
        self.encoded_size = HOST_HASH_BYTES + len(self.figures)  # bytes of an encoded report
        self._hashes: dict[str, bytes] = {}  # by host
        self._hosts_by_hash: dict[bytes, str | None] = {}  # by hash_bytes; None if it identifies two hosts

    def set_hosts(self, names: Iterable[str]) -> None:
        """Takes over the hosts whose reports are sent and decoded."""
        self._hashes = {name: self._hashes.get(name) or host_hash(name) for name in names}
        self._hosts_by_hash = {}
        for name, hash_bytes in self._hashes.items():
            self._hosts_by_hash[hash_bytes] = None if hash_bytes in self._hosts_by_hash else name

    def encode(self, name: str, report: Report) -> bytes | None:
        """The bytes of a report; None if the host cannot be identified."""
        hash_bytes = self._hashes.get(name)
        if hash_bytes is None or self._hosts_by_hash.get(hash_bytes) != name:
            return None
        return hash_bytes + bytes(
            [_encode_figure(figure, getattr(report, figure)) for figure in self.figures]
        )

    def decode(self, data: bytes) -> tuple[str, Report] | None:
        """(host, report) of the bytes; None if they cannot be used."""
        name = self._hosts_by_hash.get(bytes(data[:HOST_HASH_BYTES]))
        if len(data) != self.encoded_size or name is None:
            return None
        figures = zip(self.figures, data[HOST_HASH_BYTES:], strict=True)
        return name, Report(**{figure: _decode_figure(figure, value) for figure, value in figures})


def _encode_figure(figure: str, value: float | None) -> int:
    scale = MAX_BYTE_VALUE if figure in FRACTION_FIGURES else 1
    return min(MAX_BYTE_VALUE, max(0, round((value or 0) * scale)))


def _decode_figure(figure: str, value: int) -> float:
    return value / MAX_BYTE_VALUE if figure in FRACTION_FIGURES else value
