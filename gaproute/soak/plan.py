"""Draws a soak from its seed: the limits of the gateway, the faults of its peers and the signals to it."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gaproute.soak.change_log import ChangeLogFault
from gaproute.soak.deployment import DEADLINE_MS
from gaproute.soak.hostile_clients import HostileKind
from gaproute.soak.hosts import HostFault

# From the platform's pages: the least and the usual memory, the least and the greatest number of descriptors.
MEMORY_MB = (32, 64, 80, 192)
DESCRIPTORS = (256, 384, 1024)
MIN_COUNTED_DEADLINE_S = 3.0  # a shorter longest deadline counts as this one before SIGKILL
KILL_DELAY_AFTER_DEADLINE_S = 0.7
MAX_HOSTILE_KINDS = 3
CROWD_SHARE = 0.3  # of the seeds in which hundreds of connections come
HOSTILE_CONNECTIONS = 300
RELOAD_PAUSE_S = 0.05  # between signals of a series
CROWD_KINDS = (
    HostileKind.HALF_BODIES,
    HostileKind.SHORT_FIELDS,
    HostileKind.LARGE_REQUESTS,
    HostileKind.NO_READING,
    HostileKind.CROWD,
)


def kill_delay_s() -> float:
    """The earliest time of SIGKILL after SIGTERM."""
    longest = max(DEADLINE_MS.values()) / 1000
    return max(longest, MIN_COUNTED_DEADLINE_S) + KILL_DELAY_AFTER_DEADLINE_S


@dataclass(frozen=True, kw_only=True)
class SoakPlan:
    """One soak. Times are seconds from its start."""

    seed: int
    seconds: float
    memory_mb: int
    descriptors: int
    hostile_kinds: tuple[HostileKind, ...]
    hostile_connections: int = HOSTILE_CONNECTIONS
    host_fault: HostFault = HostFault.NONE
    change_log_fault: ChangeLogFault = ChangeLogFault.NONE
    departing: bool = True  # whether clients leave before their answer
    reload_times: tuple[float, ...] = ()  # of SIGHUP
    restart_times: tuple[float, ...] = ()  # of SIGTERM, each followed by SIGKILL and a new start

    @property
    def crowded(self) -> bool:
        """Whether more connections come than the gateway has places for clients."""
        crowds = sum(kind in CROWD_KINDS for kind in self.hostile_kinds)
        return crowds * self.hostile_connections >= self.descriptors // 2


def draw_plan(seed: int, seconds: float) -> SoakPlan:
    """The plan of a seed."""
    chance = random.Random(f"soak {seed}")
    single = [kind for kind in HostileKind if kind not in CROWD_KINDS]
    kinds = chance.sample(single, chance.randint(1, MAX_HOSTILE_KINDS))
    if chance.random() < CROWD_SHARE:
        kinds[0] = chance.choice(CROWD_KINDS)
    restarts, reloads = [], []
    if chance.random() < 0.5:
        restarts.append(seconds * chance.uniform(0.2, 0.5))
    if chance.random() < 0.5:
        first = seconds * chance.uniform(0.1, 0.8)
        reloads = [first + RELOAD_PAUSE_S * each for each in range(chance.randint(1, 20))]
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        memory_mb=chance.choice(MEMORY_MB),
        descriptors=chance.choice(DESCRIPTORS),
        hostile_kinds=tuple(kinds),
        host_fault=chance.choice((HostFault.NONE, *HostFault)),
        change_log_fault=chance.choice((ChangeLogFault.NONE, *ChangeLogFault)),
        reload_times=tuple(reloads),
        restart_times=tuple(restarts),
    )
