"""How often things happen in the fleet, and how long it takes until all gateways know of them."""

from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.arithmetic import (
    CHANGE_BYTES,
    HOSTS,
    KB,
    MEMBERS_CAP,
    MINUTE,
    Derived,
    predicted,
    rows_of,
)
from benchmarks.scale.text import number


def time(arguments: list[str], folder: Path) -> list[str]:
    """How often things happen, and how long today's ways of spreading them take."""
    return rows_of(
        [
            *_calls(),
            *_configuration_changes(),
            _control_traffic(folder),
            *_restarts_and_deaths(folder),
            *_list_changes(folder),
        ]
    )


def _calls() -> list[Derived]:
    days = MINUTE * size.GATEWAYS / size.DAY
    return [
        Derived("calls at a gateway", "calls / gateways", f"{number(size.CALLS_A_GATEWAY)} a second"),
        Derived(
            "a function called once a minute comes to one gateway",
            "60 s x gateways",
            f"every {number(days)} days",
        ),
    ]


def _configuration_changes() -> list[Derived]:
    deliveries = size.CHANGES_A_SECOND * size.GATEWAYS
    return [
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
    ]


def _control_traffic(folder: Path) -> Derived:
    parts = [
        predicted(name, size.GATEWAYS, folder)
        for name in ("gossip-bytes-by-gateways", "membership-bytes-by-members", "dissemination-day-sent")
    ]
    sent = sum(part.value for part in parts) / KB
    return Derived(
        "sent for control by a gateway: gossip, membership and table together",
        "sum of fits",
        f"{number(sent)} of {number(size.CONTROL_BYTES)} KB a second",
        "; ".join(part.source for part in parts),
    )


def _restarts_and_deaths(folder: Path) -> list[Derived]:
    death = predicted("membership-death-seconds-by-members", size.GATEWAYS, folder)
    return [
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
    ]


def _list_changes(folder: Path) -> list[Derived]:
    """A round of gossip, and one changed line of the host list."""
    round_to_all = predicted("gossip-round-seconds-by-gateways", size.GATEWAYS, folder)
    listed = predicted("host-list-change-cpu-by-hosts", HOSTS, folder)
    decided = predicted("decisions-changed-line-by-hosts", HOSTS, folder)
    return [
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
