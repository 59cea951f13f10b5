"""Prints a day's result for a person, 80 columns wide."""

from collections import Counter

from rich import box
from rich.console import Console
from rich.table import Table

from gaproute.scenarios.result import OUTCOMES, DayResult

RULES = {
    1: "one final answer, in time",
    2: "no effect twice",
    3: "drains kept",
    4: "cold hosts not pushed over",
    5: "load orders rationed",
}
MOST_VIOLATIONS = 3  # that are printed of each rule


def print_result(result: DayResult, console: Console) -> None:
    """The outcomes by request class, the service, counts, and each rule with its first violations."""
    console.print(_outcome_table(result))
    windows = " ".join(_share(service) for service in result.service_by_window)
    console.print(f"service {_share(result.service)}; by 5 s: {windows}")
    console.print(_counts(result))
    for rule, name in RULES.items():
        violations = [violation for violation in result.broken if violation.rule == rule]
        console.print(
            f"rule {rule}, {name}: {'kept' if not violations else f'BROKEN {len(violations)} times'}"
        )
        for violation in violations[:MOST_VIOLATIONS]:
            console.print(f"    {(violation.at - result.begun) / 1e9:.2f} s: {violation.text}")


def _outcome_table(result: DayResult) -> Table:
    table = Table(
        title="tasks by track and end, at the clients' sockets", box=box.SIMPLE, pad_edge=False, padding=0
    )
    for column in ("track", *OUTCOMES, "service"):
        table.add_column(column, justify="left" if column == "track" else "right")
    for name in result.request_classes:
        outcomes = result.outcomes(name)
        counts = (str(outcomes[outcome]) for outcome in OUTCOMES)
        table.add_row(name, *counts, _share(result.service_by_class[name]))
    return table


def _counts(result: DayResult) -> str:
    exit_codes = ", ".join(
        f"{code} {count} times" for code, count in Counter(result.exit_codes.values()).items()
    )
    return (
        f"{result.attempts} relays, {result.load_orders} load orders, {result.fetches} store fetches, "
        f"{result.rejected_fetches} turned away, {result.overloaded_hosts} hosts fell over; "
        f"gateways' exit codes {exit_codes}"
    )


def _share(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"
