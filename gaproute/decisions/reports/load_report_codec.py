"""Encodes load reports of hosts in a few bytes, for messages between gateways on sockets and in simulation.

A hash of two bytes identifies the host, and each figure takes one byte, as the price of a message is its
bytes times its receivers. Reports of hosts that have the same hash are neither encoded nor decoded.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from gaproute.interface import HostLoadReport

HOST_HASH_BYTES = 2
MAX_BYTE_VALUE = 255
FRACTION_FIGURES = ("cpu_busy", "memory_busy")  # figures from 0 to 1, which are encoded in units of 1/255


def host_hash(name: str) -> bytes:
    """Returns the hash that identifies a host in encoded reports."""
    return blake2b(name.encode(), digest_size=HOST_HASH_BYTES).digest()


class LoadReportCodec:
    """Encodes and decodes load reports. `reported`: the names of the figures that health checks report."""

    def __init__(self, reported: Collection[str]) -> None:
        self.figures = tuple(name for name in HostLoadReport._fields if name in reported)
        self.encoded_size = HOST_HASH_BYTES + len(self.figures)  # bytes of an encoded report
        self._hashes: dict[str, bytes] = {}  # by host
        self._hosts_by_hash: dict[bytes, str | None] = {}  # None: several hosts have this hash

    def set_hosts(self, names: Iterable[str]) -> None:
        """Sets the hosts whose reports are encoded and decoded."""
        self._hashes = {name: self._hashes.get(name) or host_hash(name) for name in names}
        self._hosts_by_hash = {}
        for name, hash_bytes in self._hashes.items():
            self._hosts_by_hash[hash_bytes] = None if hash_bytes in self._hosts_by_hash else name

    def encode(self, name: str, report: HostLoadReport) -> bytes | None:
        """Returns the bytes of a report; None if the host is unknown or shares its hash with another host."""
        hash_bytes = self._hashes.get(name)
        if hash_bytes is None or self._hosts_by_hash.get(hash_bytes) != name:
            return None
        return hash_bytes + bytes(
            [_encode_figure(figure, getattr(report, figure)) for figure in self.figures]
        )

    def decode(self, data: bytes) -> tuple[str, HostLoadReport] | None:
        """Returns the host and its report; None if the length is wrong or the hash is of no single host."""
        name = self._hosts_by_hash.get(bytes(data[:HOST_HASH_BYTES]))
        if len(data) != self.encoded_size or name is None:
            return None
        figures = zip(self.figures, data[HOST_HASH_BYTES:], strict=True)
        return name, HostLoadReport(**{figure: _decode_figure(figure, value) for figure, value in figures})


def _encode_figure(figure: str, value: float | None) -> int:
    scale = MAX_BYTE_VALUE if figure in FRACTION_FIGURES else 1
    return min(MAX_BYTE_VALUE, max(0, round((value or 0) * scale)))


def _decode_figure(figure: str, value: int) -> float:
    return value / MAX_BYTE_VALUE if figure in FRACTION_FIGURES else value
