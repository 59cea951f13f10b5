"""Figures of the whole fleet from what tellers told: sums scaled by how many were heard, medians, witnesses.

No teller is believed without bound. Its page may sum up to BOUND times the lower median of all pages, this
gateway's own among them, and one subject of it to a part of that; what is above is scaled down. It harms
where one gateway truly has more: its share is then told too small.
"""

from typing import NamedTuple

BOUND = 16  # times the lower median of the tellers: ten times the mean is a day that was seen
ONE = 4  # the part of that bound which one subject may take
FLOOR = (32.0, 0.0, 50.0)  # by kind, tasks in hand and arrivals a second that are always believed: most
#                                may rest while one works
WITNESSES = 8  # tellers named for one copy


class Reading(NamedTuple):
    """`own`: seen here; `heard`: the sum of what `tellers` others told, of `others` that are up; `age`: the
    mean of what was heard, ns. With no teller `total` is what is seen here alone."""

    own: float
    heard: float
    tellers: int
    others: int
    age: int
    spread: float = 0.0  # standard deviation of the total, own part included

    @property
    def total(self):
        return self.own + (self.heard * self.others / self.tellers if self.tellers else 0.0)


class Sums:
    """The sums of one kind at one moment."""

    def __init__(self, now, kind, pages, own, figure, names, spread=None, counts=None):
        """`own`: what this gateway's page sums up to; `figure(entry)` is an entry's
        figure, `names(entry)` its subject, `spread(entry)` its spread; `counts(held, entry)`, where given,
        says which entries count at all."""
        self.tellers = len(pages)
        self.age = sum(now - held.seen for _, held in pages) // max(1, self.tellers)
        totals = [held.rest + sum(map(figure, held.entries)) for _, held in pages]
        bound = max(FLOOR[kind], BOUND * sorted([*totals, own])[len(totals) // 2])
        self.sums, self.variance, self.rest, self.clipped = {}, {}, 0.0, 0
        for (_, held), total in zip(pages, totals, strict=True):
            scale = min(1.0, bound / total) if total else 1.0
            self.clipped += scale < 1
            self.rest += held.rest * scale
            for entry in held.entries:
                if counts is not None and not counts(held, entry):
                    continue
                subject, value = names(entry), min(figure(entry) * scale, bound / ONE)
                self.sums[subject] = self.sums.get(subject, 0.0) + value
                if spread is not None:
                    # A spread is believed up to what arrivals in a few great bursts would have.
                    self.variance[subject] = (
                        self.variance.get(subject, 0.0) + min(spread(entry) * scale, bound / ONE) ** 2
                    )

    def reading(self, subject, own, others, own_spread=0.0):
        times = others / self.tellers if self.tellers else 0.0
        variance = own_spread**2 + self.variance.get(subject, 0.0) * times
        return Reading(own, self.sums.get(subject, 0.0), self.tellers, others, self.age, variance**0.5)


def median(figures):
    figures = sorted(figures)
    middle = len(figures) // 2
    return figures[middle] if len(figures) % 2 else (figures[middle - 1] + figures[middle]) / 2
