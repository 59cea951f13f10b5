"""The peers with which a gateway exchanges messages: a bounded sample of the fleet, spread over its zones.

Most messages stay within the own cell, whose gateways are near. A small share goes to entry gateways of other
cells, such that these receive about half as many messages more than others, and each cell receives every
change from several sides.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gaproute.shared.dissemination.bounds import (
    FANOUT,
    MAX_VIEW_CONFIGURED_PEERS,
    MAX_VIEW_ENTRY_GATEWAYS,
    MAX_VIEW_NEIGHBOURS,
    MIN_OUTSIDE_PUSHES,
)
from gaproute.shared.dissemination.messages import Peer
from gaproute.shared.randomness import RandomSource, partial_shuffle

SHARE_UNITS = 1 << 20  # the unit of shares
DRAWS_PER_PEER = 3  # draws for each peer, as a draw may give a peer twice; unneeded draws cost nothing


@dataclass(frozen=True)
class Candidates:
    """The peers that may be used. `gateway_count`: about how many the fleet has, 0 if unknown."""

    neighbours: tuple[Peer, ...] = ()  # of the own cell; this gateway may be among them
    # By zone, of the other cells
    entry_gateways: Mapping[str, tuple[Peer, ...]] = field(default_factory=dict)
    configured: tuple[Peer, ...] = ()
    gateway_count: int = 0


class PartialView:
    """Draws peers at random from a bounded sample of the candidates."""

    def __init__(self, name: str, random: RandomSource) -> None:
        self.name = name
        self.inside: list[Peer] = []  # of the own cell
        self.outside: list[Peer] = []
        self.names: dict[str, None] = {}  # of all peers
        self._random = random
        self._outside_share = SHARE_UNITS

    def set_candidates(self, candidates: Candidates) -> None:
        """Takes over the present candidates; the sample is drawn again."""
        self.inside = self._draw_sample(candidates.neighbours, MAX_VIEW_NEIGHBOURS)
        outside = self._draw_sample(candidates.configured, MAX_VIEW_CONFIGURED_PEERS)
        outside += self._draw_entry_gateways(candidates.entry_gateways)
        self.names = {peer.name: None for peer in self.inside}
        self.outside = []
        for peer in outside:
            if peer.name not in self.names:
                self.names[peer.name] = None
                self.outside.append(peer)
        self._outside_share = _outside_share(candidates)

    def sample(self, count: int, excluded: str = "") -> list[Peer]:
        """Up to `count` different peers, not the excluded one."""
        found: dict[str, Peer] = {}
        for _ in range(DRAWS_PER_PEER * count):
            if len(found) == count:
                break
            peer = self._draw_peer()
            if peer is not None and peer.name != excluded:
                found[peer.name] = peer
        return list(found.values())

    def _draw_peer(self) -> Peer | None:
        wants_outside = self._random.below(SHARE_UNITS) < self._outside_share
        use_outside = (wants_outside and self.outside) or not self.inside
        peers = self.outside if use_outside else self.inside
        return peers[self._random.below(len(peers))] if peers else None

    def _draw_sample(self, candidates: Iterable[Peer], count: int) -> list[Peer]:
        """Up to `count` of the candidates, except this gateway."""
        peers = [peer for peer in candidates if peer.name != self.name]
        partial_shuffle(peers, count, self._random)
        return peers[:count]

    def _draw_entry_gateways(self, entries: Mapping[str, tuple[Peer, ...]]) -> list[Peer]:
        """A sample of the entries, in which no zone has two peers more than another one with peers left."""
        by_zone = [self._draw_sample(peers, MAX_VIEW_ENTRY_GATEWAYS) for _, peers in sorted(entries.items())]
        zones = [peers for peers in by_zone if peers]
        # In an order that differs between gateways, so that they use different zones if there are many
        partial_shuffle(zones, len(zones), self._random)
        found: list[Peer] = []
        turn = 0
        while zones and len(found) < MAX_VIEW_ENTRY_GATEWAYS:
            position = turn % len(zones)
            found.append(zones[position].pop())
            if zones[position]:
                turn += 1
            else:
                del zones[position]
        return found


def _outside_share(candidates: Candidates) -> int:
    """The share of messages that are sent outside the own cell, in `SHARE_UNITS`."""
    if not candidates.neighbours:
        return SHARE_UNITS
    entries = sum(len(peers) for peers in candidates.entry_gateways.values())
    outside = max(1, entries + len(candidates.configured))
    cell_size = len(candidates.neighbours) + 1
    # So that entry gateways receive about half as many messages more than others
    fair_share = SHARE_UNITS * outside // (2 * (outside + max(candidates.gateway_count, cell_size)))
    # So that a few pushes of each change leave the cell, whose gateways push it FANOUT times each
    min_share = SHARE_UNITS * MIN_OUTSIDE_PUSHES // (FANOUT * cell_size)
    return min(SHARE_UNITS, max(fair_share, min_share))
