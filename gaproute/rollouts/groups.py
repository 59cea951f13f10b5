"""Groups of rollouts: all rollouts of one prompt use one version of the weights, or all are discarded."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from gaproute.rollouts.weight_versions import VersionRejection, WeightVersions

MAX_OPEN_GROUPS = 4096  # a further group is rejected
MAX_ENDED_GROUPS = 4096  # kept so that late rollouts are rejected with the outcome of their group


class GroupOutcome(StrEnum):
    """How a group ended, unless a `VersionRejection` ended it."""

    DELIVERED = "delivered"
    OTHER_VERSION = "answered by another version"
    MIXED_VERSIONS = "of two versions"
    UNKNOWN = "unknown"


GroupEndReason = GroupOutcome | VersionRejection


class RolloutGroup:
    """A group whose rollouts are not all answered.

    `answered`: by rollout, whether it is answered; `answer_count`: the number of answered rollouts.
    """

    __slots__ = ("campaign", "version", "size", "answered", "answer_count")

    def __init__(self, campaign: str, version: int, size: int) -> None:
        self.campaign, self.version, self.size = campaign, version, size
        self.answered: dict[str, bool] = {}
        self.answer_count = 0

    def record_answer(self, rollout: str) -> None:
        """Records an answer by the group's version; a repeated answer changes nothing."""
        self.answer_count += not self.answered[rollout]
        self.answered[rollout] = True


class OutdatedGroup(NamedTuple):
    """A group whose version is too old, and its rollouts."""

    name: str
    rollouts: list[str]


class RolloutGroups:
    """The groups of one gateway: open groups, and why the last ended groups ended."""

    def __init__(self, versions: WeightVersions) -> None:
        self.versions = versions
        self.open_groups: dict[str, RolloutGroup] = {}
        self.ended_groups: dict[str, GroupEndReason] = {}
        self.outcome_counts: Counter[str] = Counter()

    def admit(self, group: str, rollout: str, campaign: str, version: int, size: int) -> str | None:
        """Admits a rollout, or returns why it is rejected.

        The first rollout of a group sets the version that all rollouts of the group must use.
        """
        if group in self.ended_groups:
            return f"group {self.ended_groups[group]}"
        rejection = self.versions.rejection(campaign, version)
        existing = self.open_groups.get(group)
        if existing is None:
            if rejection or len(self.open_groups) >= MAX_OPEN_GROUPS:
                return rejection or "too many groups"
            existing = self.open_groups[group] = RolloutGroup(campaign, version, size)
        elif rejection or (existing.campaign, existing.version, existing.size) != (campaign, version, size):
            self.discard(group, rejection or GroupOutcome.MIXED_VERSIONS)
            return rejection or "group of two versions"
        if rollout not in existing.answered and len(existing.answered) >= existing.size:
            return "group is full"
        existing.answered.setdefault(rollout, False)
        return None

    def record_answer(self, group: str, rollout: str, version: int | None) -> GroupEndReason | None:
        """Records an answer of a host that reports the given version.

        Returns `DELIVERED` once for the whole group, None while other answers are missing, or why the group
        is discarded.
        """
        existing = self.open_groups.get(group)
        if existing is None or rollout not in existing.answered:
            return self.ended_groups.get(group, GroupOutcome.UNKNOWN)
        if not self.versions.is_answer_usable(existing.version, version):
            return self.discard(group, GroupOutcome.OTHER_VERSION)
        existing.record_answer(rollout)
        complete = existing.answer_count == existing.size
        return self._end_group(group, GroupOutcome.DELIVERED) if complete else None

    def discard(self, group: str, reason: GroupEndReason) -> GroupEndReason:
        """Ends a whole group: its answers are discarded, and its rollouts in flight may be cancelled."""
        if group in self.open_groups:
            return self._end_group(group, reason)
        return self.ended_groups.get(group, GroupOutcome.UNKNOWN)

    def discard_outdated(self) -> list[OutdatedGroup]:
        """Discards and returns the groups whose version is no longer accepted."""
        outdated = [
            OutdatedGroup(name, list(group.answered))
            for name, group in self.open_groups.items()
            if self.versions.rejection(group.campaign, group.version)
        ]
        for group in outdated:
            self.discard(group.name, VersionRejection.TOO_OLD)
        return outdated

    def _end_group(self, group: str, outcome: GroupEndReason) -> GroupEndReason:
        del self.open_groups[group]
        self.ended_groups[group] = outcome
        if len(self.ended_groups) > MAX_ENDED_GROUPS:
            del self.ended_groups[next(iter(self.ended_groups))]
        self.outcome_counts[outcome] += 1
        return outcome
