"""Which version of a campaign's weights is now, and what becomes of a rollout that names another."""

from collections import Counter

AHEAD = 1 << 20  # versions: a word further ahead than this is nonsense, not news


class WeightVersions:
    """`campaigns`: {name: Campaign}. Versions only grow, so words of them merge in any order."""

    def __init__(self, campaigns):
        self.campaigns = campaigns
        self.now = {name: campaign.version for name, campaign in campaigns.items()}
        self.refused = Counter()

    def moved(self, name, version):
        """The trainer, the configuration or a peer says so; whether it is news."""
        was = self.now.get(name)
        if was is None or type(version) is not int or not 0 <= version <= was + AHEAD:
            self.refused["unknown campaign" if was is None else "version"] += 1
            return False
        if version <= was:
            return False
        self.now[name] = version
        return True

    def why_not(self, name, version):
        """Why a rollout of this version is declined, or ''. It is looked at again before each sending."""
        now = self.now.get(name)
        if now is None:
            return "unknown campaign"
        if version > now:
            return "version not there yet"
        return "too old" if now - version > self.campaigns[name].old else ""

    def wanted(self, name):
        """Versions that copies may have, the newest first."""
        now = self.now[name]
        return range(now, max(-1, now - self.campaigns[name].old - 1), -1)

    @staticmethod
    def served(named, told):
        """What an answer is worth: by another version than named (or it does not say) it is scrapped."""
        return "delivered" if told == named else "scrapped"
