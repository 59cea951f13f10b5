"""What is recorded of a campaign run with a view of everything: versions, waits, used lanes, violations."""

from collections import Counter
from collections.abc import Callable, Iterable

from gaproute.rollouts.campaign import Campaign
from gaproute.units import MILLI

LATE_MS = 100  # a wait of production above it is late


class CampaignProgress:
    """Which version the trainer has reached, and how many rollouts it was given, by campaign."""

    def __init__(self, campaigns: Iterable[str]) -> None:
        names = list(campaigns)
        self.versions = dict.fromkeys(names, 1)
        self.delivered = dict.fromkeys(names, 0)


class ProductionRecord:
    """Production's requests at the hosts; waits and answers are in ms. `true_time` gives ns."""

    def __init__(self, true_time: Callable[[], int]) -> None:
        self.true_time = true_time
        self.waits: list[float] = []
        self.answers: list[float] = []  # wait and run
        self._arrivals: dict[str, int] = {}  # of requests that wait, by task

    def record_arrival(self, task: str) -> None:
        """The request has come to its host."""
        self._arrivals[task] = self.true_time()

    def record_start(self, task: str, duration: int) -> None:
        """The request runs from now on, for so many ns."""
        if task in self._arrivals:
            wait = (self.true_time() - self._arrivals.pop(task)) / MILLI
            self.waits.append(wait)
            self.answers.append(wait + duration / MILLI)

    def figures(self) -> dict[str, float]:
        """Waits and answers; `lost` are requests that never ran."""
        waits, answers, count = sorted(self.waits), sorted(self.answers), len(self.waits)
        return {
            "wait": waits[count * 99 // 100],
            "p50": answers[count // 2],
            "p99": answers[count * 99 // 100],
            "mean": sum(answers) / count,
            "late": sum(wait > LATE_MS for wait in waits) / count,
            "lost": len(self._arrivals),
            "production": count,
        }


class RolloutRecord:
    """Rollouts at the hosts, the groups that gateways deliver, and the use of spare lanes."""

    def __init__(self, campaigns: dict[str, Campaign], progress: CampaignProgress) -> None:
        self.campaigns, self.progress = campaigns, progress
        self.used = self.spare = 0  # lanes, summed over all samples
        self.lanes_by_campaign: Counter[str] = Counter(dict.fromkeys(campaigns, 0))
        self.last_sent_late = 0  # ns that a rollout was sent after production had taken the host
        self.violations: list[str] = []
        self._answered_by: dict[str, int | None] = {}  # version by task

    def record_answer(self, task: str, version: int | None) -> None:
        """A host has answered the rollout by this version."""
        self._answered_by[task] = version

    def record_delivery(self, campaign: str, group: str) -> None:
        """A gateway delivers the group as complete; the hosts recorded by which versions it was answered."""
        size = self.campaigns[campaign].group_size
        versions = {self._answered_by.pop(f"{group}/{number}", None) for number in range(size)}
        if len(versions) != 1 or None in versions:
            self.violations.append(f"no version mixing: group {group} by {sorted(map(str, versions))}")
        self.progress.delivered[campaign] += size

    def record_violations(self, violations: Iterable[str]) -> None:
        """What a gateway's own checks have found."""
        self.violations += violations

    def record_use(self, spare: int, rollouts: Iterable[str]) -> None:
        """A sample of one host: lanes to spare, and the campaign of each rollout that runs there.

        Rollouts beyond the spare lanes, where production has just come, are no use.
        """
        running = list(rollouts)
        self.used += min(spare, len(running))
        self.spare += spare
        self.lanes_by_campaign.update(running)
