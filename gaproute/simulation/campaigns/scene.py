"""What the processes of a campaign run are made from, and what they record."""

from collections.abc import Callable
from dataclasses import dataclass

from gaproute.simulation.campaigns.fleet import CampaignFleet
from gaproute.simulation.campaigns.record import CampaignProgress, ProductionRecord, RolloutRecord
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI

LOAD_TIME = 500 * MILLI  # of a copy
SLOW_STORE_FACTOR = 10  # a store at a tenth of its pace
MEAN_PRODUCTION_TIME = 200 * MILLI  # of a request


@dataclass(frozen=True, slots=True)
class HostBehaviour:
    """How the hosts of a case behave.

    `slow_store`: loads take ten times as long. `newest_answers`: hosts answer by their newest copy, whatever
    version was named.
    """

    slow_store: bool = False
    newest_answers: bool = False

    @property
    def load_time(self) -> int:
        """Of a copy, ns."""
        return LOAD_TIME * (SLOW_STORE_FACTOR if self.slow_store else 1)


class Numbers:
    """Numbers that are used once in a run."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> int:
        """A new number."""
        self._last += 1
        return self._last


@dataclass(frozen=True, slots=True)
class Scene:
    """`production_random` draws production alone, so that it is the same with and without campaigns.

    `true_time()` is in ns; `running_hosts()` names the hosts that run, or all where none does.
    """

    fleet: CampaignFleet
    behaviour: HostBehaviour
    progress: CampaignProgress
    production: ProductionRecord
    rollouts: RolloutRecord
    numbers: Numbers
    production_random: SeededRandom
    true_time: Callable[[], int]
    running_hosts: Callable[[], list[str]]
