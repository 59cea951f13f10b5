"""The order in which a campaign's copies are replaced when its weights change, without stopping rollouts or
production.

On a host with space for both, the new copy is loaded beside the old one, which is dropped once the new one is
loaded. On other hosts the old copy is dropped first; only a fraction of a campaign's copies is missing at a
time. Production's copies are never replaced: rollouts use only the capacity that they leave.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

EXCHANGE_DIVISOR = 3  # at most 1 in 3 copies is being loaded at a time, so rollouts keep two thirds


class CopyOrderKind(StrEnum):
    """What is done with a copy."""

    DROP = "drop"  # unload the copy, which serves no rollouts
    LOAD = "load"  # load the copy beside the copies that are loaded there
    SWAP = "swap"  # drop the campaign's oldest copies there until this copy fits, then load it


class CopyOrder(NamedTuple):
    """An order to drop or load a campaign's copy of one version at one host."""

    kind: CopyOrderKind
    host: str
    version: int


@dataclass(frozen=True)
class CopyPlacement:
    """Where one campaign's copies are, and where they are planned.

    `planned`: hosts that are to have a copy, the most useful first; `copies`: loaded versions by host.
    `loading`: hosts that are loading a copy; `free_capacity`: by host, the free space for copies.
    """

    planned: Sequence[str]
    copies: Mapping[str, Sequence[int]]
    loading: Collection[str]
    free_capacity: Mapping[str, int]


def plan_exchange(copy_size: int, versions: Sequence[int], placement: CopyPlacement) -> list[CopyOrder]:
    """The orders for one campaign now: drops, then loads, the most useful first.

    `versions`: the versions that may serve rollouts, the newest first.
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
        """The drops, and loads as long as enough copies remain."""
        orders = list(self.drops)
        lacking = [host for host in self.placement.planned if self._lacks_newest(host)]
        empty = [host for host in lacking if not self._remaining_versions(host)]
        loads_in_progress = len(self.placement.loading)
        max_loads_in_progress = max(1, len(self.placement.planned) // EXCHANGE_DIVISOR)
        for host in empty + [host for host in lacking if host not in empty]:
            if loads_in_progress >= max_loads_in_progress and host not in empty:
                break  # only a host without any copy loses no serving copy by a load
            kind = self._load_kind(host)
            if kind is not None:
                orders.append(CopyOrder(kind, host, self.newest))
                loads_in_progress += 1
        return orders

    def _is_unneeded(self, host: str, version: int, loaded: Sequence[int]) -> bool:
        """Whether the copy can be dropped without a loss of serving copies."""
        if version not in self.versions:
            return True
        return version != self.newest and (host not in self.placement.planned or self.newest in loaded)

    def _lacks_newest(self, host: str) -> bool:
        return self.newest not in self.placement.copies.get(host, ()) and host not in self.placement.loading

    def _remaining_versions(self, host: str) -> list[int]:
        """The versions that remain loaded at the host after the drops."""
        dropped = {order.version for order in self.drops if order.host == host}
        return [version for version in self.placement.copies.get(host, ()) if version not in dropped]

    def _load_kind(self, host: str) -> CopyOrderKind | None:
        """How the host can load the newest copy; None if production's copies fill the host."""
        dropped = sum(order.host == host for order in self.drops)
        free = self.placement.free_capacity.get(host, 0) + self.copy_size * dropped
        if free + self.copy_size * len(self._remaining_versions(host)) < self.copy_size:
            return None
        return CopyOrderKind.LOAD if free >= self.copy_size else CopyOrderKind.SWAP
