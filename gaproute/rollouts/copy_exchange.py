"""The order in which copies are replaced when weights change, so that neither rollouts nor production stand
still.

Where both fit, the new copy is loaded beside the old one, which is dropped when the new one is loaded.
Elsewhere the old one is dropped first; then at most a part of a campaign's copies is missing at a time.
Production's copies are not touched: only the capacity that they leave is used.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

EXCHANGE_DIVISOR = 3  # one in so many copies may be under way: rollouts keep two thirds


class CopyOrderKind(StrEnum):
    """What becomes of a copy."""

    DROP = "drop"  # it serves nobody
    LOAD = "load"  # beside what is loaded there
    SWAP = "swap"  # the campaign's oldest copies there are dropped until this one fits


class CopyOrder(NamedTuple):
    """An order about a campaign's copy of this version."""

    kind: CopyOrderKind
    host: str
    version: int


@dataclass(frozen=True)
class CopyPlacement:
    """Where one campaign's copies are and should be.

    `planned`: hosts that shall have a copy, the most useful first; `copies`: loaded versions by host.
    `loading`: hosts with a load under way; `free_capacity`: by host, what is free for copies.
    """

    planned: Sequence[str]
    copies: Mapping[str, Sequence[int]]
    loading: Collection[str]
    free_capacity: Mapping[str, int]


def plan_exchange(copy_size: int, versions: Sequence[int], placement: CopyPlacement) -> list[CopyOrder]:
    """The orders of one campaign now: drops, then loads, the most useful first.

    `versions`: those that may serve, the newest first.
    """
    return _CopyExchange(copy_size, versions, placement).plan_orders()


class _CopyExchange:
    def __init__(self, copy_size: int, versions: Sequence[int], placement: CopyPlacement) -> None:
        self.copy_size, self.versions, self.newest = copy_size, versions, versions[0]
        self.placement = placement
        self.drops = [
            CopyOrder(CopyOrderKind.DROP, host, version)
            for host, loaded in placement.copies.items()
            for version in loaded
            if self._is_unneeded(host, version, loaded)
        ]

    def plan_orders(self) -> list[CopyOrder]:
        """Orders loads as long as enough copies stay."""
        orders = list(self.drops)
        lacking = [host for host in self.placement.planned if self._lacks_newest(host)]
        empty = [host for host in lacking if not self._remaining_versions(host)]
        loads_in_progress = len(self.placement.loading)
        max_loads_in_progress = max(1, len(self.placement.planned) // EXCHANGE_DIVISOR)
        for host in empty + [host for host in lacking if host not in empty]:
            if loads_in_progress >= max_loads_in_progress and host not in empty:
                break  # a host without any copy loses nothing, others do
            kind = self._load_kind(host)
            if kind is not None:
                orders.append(CopyOrder(kind, host, self.newest))
                loads_in_progress += 1
        return orders

    def _is_unneeded(self, host: str, version: int, loaded: Sequence[int]) -> bool:
        """Whether the copy serves nobody and nothing is lost without it."""
        if version not in self.versions:
            return True
        return version != self.newest and (host not in self.placement.planned or self.newest in loaded)

    def _lacks_newest(self, host: str) -> bool:
        return self.newest not in self.placement.copies.get(host, ()) and host not in self.placement.loading

    def _remaining_versions(self, host: str) -> list[int]:
        """The versions that stay loaded there after the drops."""
        dropped = {order.version for order in self.drops if order.host == host}
        return [version for version in self.placement.copies.get(host, ()) if version not in dropped]

    def _load_kind(self, host: str) -> CopyOrderKind | None:
        """How the newest copy can be loaded there; None if production's copies fill the host."""
        dropped = sum(order.host == host for order in self.drops)
        free = self.placement.free_capacity.get(host, 0) + self.copy_size * dropped
        if free + self.copy_size * len(self._remaining_versions(host)) < self.copy_size:
            return None
        return CopyOrderKind.LOAD if free >= self.copy_size else CopyOrderKind.SWAP
