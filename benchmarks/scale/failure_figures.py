"""What failures of machines, zones and regions bring in list changes, loads and bytes."""

from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import (
    ATTENDED_CELLS,
    BUDGET,
    CELL_HOSTS,
    CELLS,
    CHANGE_BYTES,
    HOSTS,
    HOUR,
    KB,
    MB,
    MINUTE,
    RACK_HOSTS,
    Derived,
    predicted,
    rows_of,
)
from benchmarks.scale.text import number


def failure(arguments: list[str], folder: Path) -> list[str]:
    """The table of failures: what each one brings."""
    return rows_of(
        [
            *_lost_machines(),
            *_lost_zone_followed(folder),
            *_gateway_restart(folder),
            *_isolated_region(),
        ]
    )


def _lost_machines() -> list[Derived]:
    """A rack or a zone is lost."""
    return [
        Derived(
            "a rack goes",
            "assumed hosts a rack x instances a host",
            f"{number(RACK_HOSTS * size.INSTANCES / HOSTS)} copies, {number(RACK_HOSTS)} list changes",
        ),
        Derived("a zone goes: gateways", "gateways / zones", number(size.GATEWAYS / size.ZONES)),
        Derived("a zone goes: hosts", "hosts / zones", number(HOSTS / size.ZONES)),
        Derived(
            "a zone goes: copies to be loaded elsewhere",
            "instances / zones",
            number(size.INSTANCES / size.ZONES),
        ),
        Derived(
            "a zone goes: functions homed there", "functions / zones", number(size.FUNCTIONS / size.ZONES)
        ),
    ]


def _lost_zone_followed(folder: Path) -> list[Derived]:
    """A zone is lost and returns, for the gateways that follow the host list."""
    change = predicted("change-log-change-bytes-by-changes", 2 * HOSTS / size.ZONES, folder)
    return [
        Derived(
            "a zone goes and comes back, told to a gateway that follows every host",
            "fit of the change log's bytes",
            f"{number(change.value / MB)} MB, {number(change.value / BUDGET / MINUTE)} min at its budget",
            change.source,
        ),
        Derived(
            "the same to a gateway of another zone that follows its own cells",
            "rows of the table of cells alone",
            f"{number(CELLS / size.ZONES)} rows",
        ),
    ]


def _gateway_restart(folder: Path) -> list[Derived]:
    """A gateway restarts without any state."""
    complete = predicted("change-log-whole-bytes-by-hosts", HOSTS, folder)
    members = predicted("membership-table-bytes-by-members", size.GATEWAYS, folder)
    cell = predicted("change-log-whole-bytes-by-hosts", ATTENDED_CELLS * CELL_HOSTS, folder)
    return [
        Derived(
            "a gateway restarts and takes the whole host list",
            "fit",
            f"{number(complete.value / MB)} MB, {number(complete.value / BUDGET / MINUTE)} min at its budget",
            complete.source,
        ),
        Derived(
            "and all gateways' membership",
            "fit",
            f"{number(members.value / KB)} KB, {number(members.value / BUDGET / MINUTE)} min",
            members.source,
        ),
        Derived(
            "the same with its own cells' hosts alone",
            "fit",
            f"{number(cell.value / KB)} KB, {number(cell.value / BUDGET)} s",
            cell.source,
        ),
    ]


def _isolated_region() -> list[Derived]:
    """A region is cut off for an hour."""
    missed = size.CHANGES / size.DAY * HOUR
    return [
        Derived("a region alone for an hour: changes that pile up", "changes x 1 h", number(missed)),
        Derived(
            "told to it at the healing",
            "piled up x assumed bytes, for each gateway",
            f"{number(missed * CHANGE_BYTES / KB)} KB, {number(missed * CHANGE_BYTES / BUDGET)} s",
        ),
        Derived(
            "restarts and deaths in that hour, in the whole fleet",
            "(2,400 + 27) / 24",
            number((size.RESTARTS + size.MACHINE_FAILURES) / 24),
        ),
    ]
