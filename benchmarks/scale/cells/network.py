"""The network of a play: delays between zones, messages that are lost, zones that are cut off."""

from __future__ import annotations

from collections.abc import Set
from random import Random

from benchmarks.fleet.clock import MILLI
from benchmarks.scale.cells.fleet import Shape, region_of

WITHIN_ZONE, WITHIN_REGION, FAR = MILLI // 4, MILLI, 30 * MILLI  # ns one way


class ZoneNetwork:
    """`regions` are by zone. `loss`: the share of messages that are lost, each way."""

    def __init__(self, shape: Shape, random: Random) -> None:
        self.regions = {f"zone{zone}": region_of(zone, shape) for zone in range(shape.zones)}
        self.loss = 0.0
        self._random = random
        self._cut: set[tuple[str, str]] = set()  # from one zone to another

    @property
    def is_cut(self) -> bool:
        """Whether any zones are cut off."""
        return bool(self._cut)

    def delay(self, one: str, other: str) -> int | None:
        """Ns one way between two zones; None: it is cut, or this message is lost."""
        if (one, other) in self._cut or (self.loss and self._random.random() < self.loss):
            return None
        if one == other:
            return WITHIN_ZONE
        return WITHIN_REGION if self.regions[one] == self.regions[other] else FAR

    def cut_off(self, zones: Set[str]) -> None:
        """Nothing passes between these zones and the others."""
        others = set(self.regions) - zones
        self._cut |= {(one, other) for one in zones for other in others}
        self._cut |= {(other, one) for one in zones for other in others}

    def heal(self) -> None:
        """Everything passes again."""
        self._cut.clear()
