"""Rollouts beside production on shared hosts, decided without I/O: `campaign` (what is asked, and what is
refused), `forecast`, `plan` and `solver` (who shall send where), `spend` (who may), `weights`, `groups`,
`exchange` (versions)."""

from gaproute.rollouts.campaign import Campaign, Host, check, lendable
from gaproute.rollouts.spend import Spend

__all__ = ["Campaign", "Host", "Spend", "check", "lendable"]
