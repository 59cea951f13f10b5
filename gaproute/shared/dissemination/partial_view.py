"""The peers that a gateway speaks with: a bounded sample of the fleet, spread over its zones.

Most messages stay within the own cell, whose gateways are near. A small share goes to entry gateways of
other cells, such that these hear about half as much again as others and each cell still hears of every
change from several sides.
"""

from dataclasses import dataclass, field

from gaproute.shared.dissemination.bounds import (
    FANOUT,
    LEAST_OUTSIDE,
    VIEW_CONFIGURED,
    VIEW_ENTRIES,
    VIEW_NEIGHBOURS,
)
from gaproute.shared.dissemination.messages import Peer

PARTS = 1 << 20  # shares are counted in these


@dataclass(frozen=True)
class Candidates:
    """Who may be spoken with. `gateways`: about how many the fleet has, 0 where nobody knows."""

    neighbours: tuple[Peer, ...] = ()  # of the own cell, this gateway not among them
    entries: dict[str, tuple[Peer, ...]] = field(default_factory=dict)  # by zone, of the other cells
    configured: tuple[Peer, ...] = ()
    gateways: int = 0


class PartialView:
    """Draws peers by chance from a bounded sample of the candidates."""

    def __init__(self, name: str, chance):
        self.name, self.chance = name, chance
        self.inside, self.outside = [], []
        self.names = {}  # of all peers
        self.outside_parts = PARTS

    def listed(self, candidates: Candidates):
        """Take over who there is now; the sample is drawn anew."""
        self.inside = self._sample(candidates.neighbours, VIEW_NEIGHBOURS)
        names = {peer.name: None for peer in self.inside}
        outside = self._sample(candidates.configured, VIEW_CONFIGURED)
        outside += self._spread(candidates.entries)
        self.outside = []
        for peer in outside:
            if peer.name not in names:
                names[peer.name] = None
                self.outside.append(peer)
        self.names = names
        self.outside_parts = _outside_parts(candidates)

    def draw(self, count: int, but: str = "") -> list[Peer]:
        """Up to `count` different peers, not the one named."""
        found = {}
        for _ in range(3 * count):  # a draw may come twice; a few tries too many cost nothing
            if len(found) == count:
                break
            peer = self._one()
            if peer is not None and peer.name != but:
                found[peer.name] = peer
        return list(found.values())

    def _one(self):
        outside = self.chance.below(PARTS) < self.outside_parts
        pool = self.outside if outside and self.outside or not self.inside else self.inside
        return pool[self.chance.below(len(pool))] if pool else None

    def _sample(self, peers, most):
        peers = [peer for peer in peers if peer.name != self.name]
        for place in range(min(most, len(peers))):
            other = place + self.chance.below(len(peers) - place)
            peers[place], peers[other] = peers[other], peers[place]
        return peers[:most]

    def _spread(self, entries):
        """A sample of the entries in which no zone has two peers more than another that has any left."""
        zones = [self._sample(peers, VIEW_ENTRIES) for _, peers in sorted(entries.items())]
        zones = self._sample_zones([peers for peers in zones if peers])
        found, turn = [], 0
        while zones and len(found) < VIEW_ENTRIES:
            found.append(zones[turn % len(zones)].pop())
            if zones[turn % len(zones)]:
                turn += 1
            else:
                del zones[turn % len(zones)]
        return found

    def _sample_zones(self, zones):
        """The zones in another order for each gateway: where there are many, each speaks with others."""
        for place in range(len(zones)):
            other = place + self.chance.below(len(zones) - place)
            zones[place], zones[other] = zones[other], zones[place]
        return zones


def _outside_parts(candidates):
    """The share of messages that leave the own cell, in `PARTS`."""
    if not candidates.neighbours:
        return PARTS
    entries = sum(len(peers) for peers in candidates.entries.values())
    outside = max(1, entries + len(candidates.configured))
    cell = len(candidates.neighbours) + 1
    fair = PARTS * outside // (2 * (outside + max(candidates.gateways, cell)))
    return min(PARTS, max(fair, PARTS * LEAST_OUTSIDE // (FANOUT * cell)))
