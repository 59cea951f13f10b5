"""The lines that gateways' configurations have in addition where a script has lease clients."""

from __future__ import annotations

from pathlib import Path

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.script_lines import LeaseClientsLine


def lease_configuration_lines(line: LeaseClientsLine, plan: AddressPlan, out: Path, number: int) -> list[str]:
    """A gateway's operators' address and the members of the Raft group, whose logs stand in `out`."""
    members = ",".join(f"g{member}" for member in range(line.group_size))
    log = f" votes {out}/g{number}.votes" if number < line.group_size else ""
    return [
        f"listen operator {plan.operator(number)}",
        f"keepers {members}{log} longest {line.max_duration}ns",
    ]
