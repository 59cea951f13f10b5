"""A load report in the few bytes that gateways send each other: the same on sockets and on the simulator's
wire.

Two bytes stand for the worker's id, by a hash, and one for each figure that probes tell here, as the price
counts bytes times receivers. An id whose bytes stand for two workers is neither told nor heard.
"""

from hashlib import blake2b

from gaproute.interface import Report

WHOLE = 2  # bytes that stand for an id
BYTE = 255  # the most that a byte tells
SHARES = ("cpu_busy", "memory_busy")


def mark(name):
    return blake2b(name.encode(), digest_size=WHOLE).digest()


def byte(figure, value):
    return min(BYTE, max(0, round((value or 0) * (BYTE if figure in SHARES else 1))))


class Words:
    """`reported`: names of the figures that probes tell."""

    def __init__(self, reported):
        self.figures = tuple(name for name in Report._fields if name in reported)
        self.size = WHOLE + len(self.figures)
        self.marks, self.names = {}, {}  # of the active workers; None where one stands for two

    def listed(self, names):
        self.marks = {name: self.marks.get(name) or mark(name) for name in names}
        self.names = {}
        for name, of in self.marks.items():
            self.names[of] = None if of in self.names else name

    def say(self, name, report):
        """The report as it is told to all others; None where it cannot be."""
        of = self.marks.get(name)
        if self.names.get(of) != name:
            return None
        return of + bytes(byte(figure, getattr(report, figure)) for figure in self.figures)

    def read(self, words):
        """(worker, report) of what another told; None where that cannot be used."""
        name = self.names.get(bytes(words[:WHOLE]))
        if len(words) != self.size or name is None:
            return None
        return name, Report(
            **{
                figure: value / BYTE if figure in SHARES else value
                for figure, value in zip(self.figures, words[WHOLE:], strict=True)
            }
        )
