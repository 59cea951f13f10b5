"""The current version of each campaign's weights, and the rejection of rollouts by their version."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

from gaproute.rollouts.campaign import Campaign

MAX_VERSION_JUMP = 1 << 20  # a reported version that is newer by more than this is rejected as an error


class VersionRejection(StrEnum):
    """Why a rollout is rejected because of its campaign or version."""

    UNKNOWN_CAMPAIGN = "unknown campaign"
    NOT_PUBLISHED = "version not there yet"
    TOO_OLD = "too old"


class WeightVersions:
    """The current versions known to one gateway. Versions only grow, so reports may arrive in any order."""

    def __init__(self, campaigns: Mapping[str, Campaign]) -> None:
        self.campaigns = campaigns
        self.current = {name: campaign.version for name, campaign in campaigns.items()}
        self.rejected_reports: Counter[str] = Counter()  # counts by reason

    def record(self, campaign: str, version: object) -> bool:
        """Records a version that the trainer or a peer reports; returns whether it is newer."""
        current = self.current.get(campaign)
        if current is None:
            self.rejected_reports["unknown campaign"] += 1
            return False
        if type(version) is not int or not 0 <= version <= current + MAX_VERSION_JUMP:
            self.rejected_reports["version"] += 1
            return False
        if version <= current:
            return False
        self.current[campaign] = version
        return True

    def rejection(self, campaign: str, version: int) -> VersionRejection | None:
        """Why a rollout of this version is rejected, or None. Checked before each attempt to send it."""
        current = self.current.get(campaign)
        if current is None:
            return VersionRejection.UNKNOWN_CAMPAIGN
        if version > current:
            return VersionRejection.NOT_PUBLISHED
        if current - version > self.campaigns[campaign].max_version_lag:
            return VersionRejection.TOO_OLD
        return None

    def usable_versions(self, campaign: str) -> range:
        """The versions that copies may serve, the newest first."""
        current = self.current[campaign]
        return range(current, max(-1, current - self.campaigns[campaign].max_version_lag - 1), -1)

    @staticmethod
    def is_answer_usable(requested: int, reported: int | None) -> bool:
        """Whether an answer counts: only if its host reports the requested version."""
        return reported == requested
