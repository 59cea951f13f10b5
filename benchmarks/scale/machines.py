"""Which roles the control machines carry, how many of each stand where, and what each then bears."""

from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import CHANGE_BYTES, KB
from benchmarks.scale.text import number, table


@dataclass(frozen=True)
class Role:
    """`copies` in all regions together; `lost` says what the loss of one machine, a zone, a region costs."""

    name: str
    copies: int
    where: str
    bears: str
    lost: str


GATEWAYS_A_REGION = size.GATEWAYS / size.REGIONS
SEEDS = 8  # gateways of each region that a source sends a change to first; they send it to the others

ROLES = (
    Role(
        "source of the table of cells and of the cells' host lists",
        2 * size.REGIONS,
        "two a region, in two zones",
        f"lists of {number(GATEWAYS_A_REGION / 2)} gateways' cells; a restart each "
        f"{number(size.DAY / size.RESTARTS * size.REGIONS * 2)} s to serve",
        "one or its zone: the other; a region: its gateways are gone with it",
    ),
    Role(
        "source of configuration",
        2 * size.REGIONS,
        "two a region, in two zones",
        f"{number(SEEDS * size.CHANGES_A_SECOND)} messages a second, "
        f"{number(SEEDS * size.CHANGES_A_SECOND * CHANGE_BYTES / KB)} KB a second",
        "as above; a region alone goes on with what it has",
    ),
    Role(
        "Raft group: leases and the term that fences the table",
        size.REGIONS,
        "one a region",
        "permits of planners and schedulers, not of gateways",
        "two regions: still a quorum; three: leases run out, nothing new is begun",
    ),
    Role(
        "planner of rollouts",
        3,
        "three regions, one leads under a lease",
        "one plan at a time",
        "the leader: another after the lease's end; all: rollouts rest",
    ),
    Role(
        "scheduler of maintenance",
        3,
        "three regions, one leads under a lease",
        "one round at a time",
        "as the planner",
    ),
)


def machines(arguments: list[str], folder: Path) -> list[str]:
    """The roles, and how many machines are left."""
    head = ["role", "machines", "where", "what each bears", "what is lost with one, a zone, a region"]
    rows = [[role.name, str(role.copies), role.where, role.bears, role.lost] for role in ROLES]
    taken = sum(role.copies for role in ROLES)
    rows.append(["spare", str(size.CONTROL_MACHINES - taken), "any", "-", "-"])
    rows.append(["in all", str(size.CONTROL_MACHINES), "", "", ""])
    return table(head, rows)
