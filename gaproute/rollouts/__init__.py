"""Rollouts beside production on shared hosts, decided without I/O: `campaign` (what is asked, and what is
refused), `forecast`, `plan` and `solver` (who shall send where), `dispatcher` (who may), `weight_versions`,
`groups`, `copy_exchange` (versions)."""

from gaproute.rollouts.campaign import Campaign, RolloutHost, check, lendable
from gaproute.rollouts.dispatcher import RolloutDispatcher

__all__ = ["Campaign", "RolloutHost", "RolloutDispatcher", "check", "lendable"]
