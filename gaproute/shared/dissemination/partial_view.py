"""The peers with which a gateway exchanges messages: a bounded sample of the fleet, spread over its zones.

Most messages stay within the own cell, whose gateways are near. A small share goes to entry gateways of other
cells. The share is chosen so that entry gateways receive about one and a half times as many messages as other
gateways, and each cell receives every change from several gateways of other cells.
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

SHARE_UNITS = 1 << 20  # shares are integers in units of 1 / SHARE_UNITS
DRAWS_PER_PEER = 3  # as a draw may repeat a peer; drawing stops once there are enough peers


@dataclass(frozen=True)
class Candidates:
    """The peers that may be in the view. `gateway_count`: approximate size of the fleet, 0 if unknown."""

    neighbours: tuple[Peer, ...] = ()  # in the own cell; this gateway may be among them
    # By zone, in the other cells
    entry_gateways: Mapping[str, tuple[Peer, ...]] = field(default_factory=dict)
    configured: tuple[Peer, ...] = ()
    gateway_count: int = 0


class PartialView:
    """Draws peers at random from a bounded sample of the candidates."""

    def __init__(self, name: str, random: RandomSource) -> None:
        self.name = name
        self.inside: list[Peer] = []  # in the own cell
        self.outside: list[Peer] = []  # in other cells, or configured
        self.names: dict[str, None] = {}  # of all peers in the view
        self._random = random
        self._outside_share = SHARE_UNITS

    def set_candidates(self, candidates: Candidates) -> None:
        """Replaces the candidates and draws a new view from them."""
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
        """Draws up to `count` different peers from the view, without the excluded one."""
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
        """Draws up to `count` of the candidates, without this gateway."""
        peers = [peer for peer in candidates if peer.name != self.name]
        partial_shuffle(peers, count, self._random)
        return peers[:count]

    def _draw_entry_gateways(self, entries: Mapping[str, tuple[Peer, ...]]) -> list[Peer]:
        """Draws entry gateways evenly from the zones.

        A zone has at most one peer more than any other zone from which not all peers are drawn.
        """
        by_zone = [self._draw_sample(peers, MAX_VIEW_ENTRY_GATEWAYS) for _, peers in sorted(entries.items())]
        zones = [peers for peers in by_zone if peers]
        # Shuffled, so that gateways draw from different zones if the view has too few places for all
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
    """The share of the messages that are sent to peers outside the own cell, in `SHARE_UNITS`."""
    if not candidates.neighbours:
        return SHARE_UNITS
    entries = sum(len(peers) for peers in candidates.entry_gateways.values())
    outside = max(1, entries + len(candidates.configured))
    cell_size = len(candidates.neighbours) + 1
    # With this share entry gateways receive about one and a half times as many messages as other gateways.
    fair_share = SHARE_UNITS * outside // (2 * (outside + max(candidates.gateway_count, cell_size)))
    # With this share MIN_OUTSIDE_PUSHES pushes of a change leave the cell, whose gateways send FANOUT each.
    min_share = SHARE_UNITS * MIN_OUTSIDE_PUSHES // (FANOUT * cell_size)
    return min(SHARE_UNITS, max(fair_share, min_share))
