"""Rollout campaigns beside production traffic in one process, judged by the true state of the hosts.

`CampaignRun` is one run, `play` makes and runs one, `CASES` are the cases by name.
"""

from gaproute.simulation.campaigns.cases import CASES
from gaproute.simulation.campaigns.run import CampaignRun, play

__all__ = ["CASES", "CampaignRun", "play"]
