"""What follows from the operators' numbers by arithmetic alone, or by arithmetic on kept measurements."""

from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.fit import WIDE_STRETCH, fit
from benchmarks.scale.measurement import Measurement
from benchmarks.scale.text import number, table

HOUR = 3_600  # seconds
MINUTE = 60  # seconds
KB, MB = 1 << 10, 1 << 20
CHANGE_BYTES = 200  # assumed: one change of configuration as told, with its headers
HOSTS = size.HOSTS_AT_20  # the largest fleet assumed
CELL_HOSTS = 256  # assumed: hosts of a cell
CELLS = round(HOSTS / CELL_HOSTS)
RACK_HOSTS = 40  # assumed
ATTENDED_CELLS = 2  # cells of its own zone that a gateway knows
MEMBERS_CAP = 4_096  # gateways that membership holds at most today


@dataclass(frozen=True)
class Derived:
    """One derived figure: what it is, how it is made, its value as text, what it was made from."""

    what: str
    how: str
    value: str
    source: str = "arithmetic"

    def row(self) -> list[str]:
        """The figure as a row of a table."""
        return [self.what, self.how, self.value, self.source]


@dataclass(frozen=True)
class Predicted:
    """A measurement's prediction at a size, with the words that name where it comes from."""

    value: float
    source: str


def predicted(name: str, at: float, folder: Path) -> Predicted:
    """What a kept measurement predicts. Errors: MeasurementError."""
    found = fit(Measurement.load(name, folder))
    source = f"`{name}` at {number(at)}"
    stretch = found.stretch(at)
    if stretch > 1:
        mark = "**stretched**" if stretch > WIDE_STRETCH else "stretched"
        source += f", {mark} {number(stretch, digits=2)} times"
    return Predicted(found.predict(at), source)


def rows_of(figures: list[Derived]) -> list[str]:
    """The Markdown table of derived figures."""
    return table(["what", "how", "value", "from"], [figure.row() for figure in figures])


def time(words: list[str], folder: Path) -> list[str]:
    """How often things happen, and how long today's ways of telling them take."""
    death = predicted("membership-death-seconds-by-members", size.GATEWAYS, folder)
    round_to_all = predicted("gossip-round-seconds-by-gateways", size.GATEWAYS, folder)
    listed = predicted("host-list-change-cpu-by-hosts", HOSTS, folder)
    decided = predicted("decisions-changed-line-by-hosts", HOSTS, folder)
    parts = [
        predicted(name, size.GATEWAYS, folder)
        for name in ("gossip-bytes-by-gateways", "membership-bytes-by-members", "dissemination-day-sent")
    ]
    sent = sum(part.value for part in parts) / KB
    days = MINUTE * size.GATEWAYS / size.DAY
    deliveries = size.CHANGES_A_SECOND * size.GATEWAYS
    return rows_of(
        [
            Derived("calls at a gateway", "calls / gateways", f"{number(size.CALLS_A_GATEWAY)} a second"),
            Derived(
                "a function called once a minute comes to one gateway",
                "60 s x gateways",
                f"every {number(days)} days",
            ),
            Derived(
                "changes of configuration",
                "a day / changes",
                f"one each {number(1 / size.CHANGES_A_SECOND)} s",
            ),
            Derived("their deliveries", "changes x gateways", f"{number(deliveries)} a second in all"),
            Derived(
                "were the control machines to tell each gateway alone",
                "deliveries / machines",
                f"{number(deliveries / size.CONTROL_MACHINES)} a second a machine",
            ),
            Derived(
                "one change told on by each gateway to six others",
                "6 x changes x assumed bytes",
                f"{number(6 * size.CHANGES_A_SECOND * CHANGE_BYTES)} bytes a second a gateway",
            ),
            Derived(
                "sent for control by a gateway: gossip, membership and table together",
                "sum of fits",
                f"{number(sent)} of {number(size.CONTROL_BYTES)} KB a second",
                "; ".join(part.source for part in parts),
            ),
            Derived("a restart", "a day / restarts", f"one each {number(size.DAY / size.RESTARTS)} s"),
            Derived(
                "a machine's death",
                "a day / failures",
                f"one each {number(size.DAY / size.MACHINE_FAILURES / MINUTE)} min",
            ),
            Derived("a death known to all gateways", "fit", f"{number(death.value)} s", death.source),
            Derived(
                "gateways that membership holds",
                "its cap",
                f"{number(MEMBERS_CAP)} of {number(size.GATEWAYS)}",
                "`shared/membership`",
            ),
            Derived(
                "one round of the gossip of demand to all",
                "fit",
                f"{number(round_to_all.value / MINUTE)} min",
                round_to_all.source,
            ),
            Derived(
                "one changed line of the host file, read",
                "fit",
                f"{number(listed.value / 1_000)} s of CPU",
                listed.source,
            ),
            Derived(
                "the same, booked by the decisions",
                "fit",
                f"{number(decided.value)} ms of CPU",
                decided.source,
            ),
        ]
    )


def failure(words: list[str], folder: Path) -> list[str]:
    """What the named failures bring in list changes, loads and bytes."""
    change = predicted("change-log-change-bytes-by-changes", 2 * HOSTS / size.ZONES, folder)
    whole = predicted("change-log-whole-bytes-by-hosts", HOSTS, folder)
    members = predicted("membership-table-bytes-by-members", size.GATEWAYS, folder)
    cell = predicted("change-log-whole-bytes-by-hosts", ATTENDED_CELLS * CELL_HOSTS, folder)
    budget = size.CONTROL_BYTES * KB
    piled = size.CHANGES / size.DAY * HOUR
    return rows_of(
        [
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
            Derived(
                "a zone goes and comes back, told to a gateway that follows every host",
                "fit of the change log's bytes",
                f"{number(change.value / MB)} MB, {number(change.value / budget / MINUTE)} min at its budget",
                change.source,
            ),
            Derived(
                "the same to a gateway of another zone that follows its own cells",
                "rows of the table of cells alone",
                f"{number(CELLS / size.ZONES)} rows",
            ),
            Derived(
                "a gateway restarts and takes the whole host list",
                "fit",
                f"{number(whole.value / MB)} MB, {number(whole.value / budget / MINUTE)} min at its budget",
                whole.source,
            ),
            Derived(
                "and all gateways' membership",
                "fit",
                f"{number(members.value / KB)} KB, {number(members.value / budget / MINUTE)} min",
                members.source,
            ),
            Derived(
                "the same with its own cells' hosts alone",
                "fit",
                f"{number(cell.value / KB)} KB, {number(cell.value / budget)} s",
                cell.source,
            ),
            Derived("a region alone for an hour: changes that pile up", "changes x 1 h", number(piled)),
            Derived(
                "told to it at the healing",
                "piled up x assumed bytes, for each gateway",
                f"{number(piled * CHANGE_BYTES / KB)} KB, {number(piled * CHANGE_BYTES / budget)} s",
            ),
            Derived(
                "restarts and deaths in that hour, in the whole fleet",
                "(2,400 + 27) / 24",
                number((size.RESTARTS + size.MACHINE_FAILURES) / 24),
            ),
        ]
    )


def assumptions(words: list[str], folder: Path) -> list[str]:
    """What changes with the instances a host: the fleet, today's costs by it, and the cells."""
    rows = []
    for instances in size.INSTANCES_A_HOST:
        hosts = size.INSTANCES / instances
        memory = predicted("decisions-list-memory-by-hosts", hosts, folder)
        line = predicted("decisions-changed-line-by-hosts", hosts, folder)
        first = predicted("decisions-first-call-by-hosts", hosts, folder)
        rows.append(
            [
                number(instances),
                number(hosts),
                f"{number(memory.value)} MB",
                f"{number(line.value)} ms",
                f"{number(first.value)} ms",
                number(round(hosts / CELL_HOSTS)),
                number(round(hosts / CELL_HOSTS / size.ZONES)),
            ]
        )
    head = [
        "instances a host",
        "hosts",
        "the list held whole",
        "one changed line",
        "first call of a rare function",
        "cells",
        "cells a zone",
    ]
    return table(head, rows)
