"""A day's result for a person, 80 columns wide."""

from collections import Counter

from rich import box
from rich.table import Table

RULES = {
    1: "one final answer, in time",
    2: "no effect twice",
    3: "drains kept",
    4: "cold hosts not pushed over",
    5: "load orders rationed",
}


def print_result(result, console):
    table = Table(
        title="tasks by track and end, at the clients' sockets", box=box.SIMPLE, pad_edge=False, padding=0
    )
    names = ("delivered", "declined", "scrapped", "left", "broken", "overdue")
    for column in ("track", *names, "service"):
        table.add_column(column, justify="left" if column == "track" else "right")
    for track in result.tracks:
        outcomes = result.outcomes(track)
        table.add_row(track, *(str(outcomes[name]) for name in names), share(result.by_track[track]))
    console.print(table)
    console.print(
        f"service {share(result.service)}; by 5 s: {' '.join(share(each) for each in result.windows)}"
    )
    console.print(
        f"{result.relays} relays, {result.orders} load orders, {result.fetches} store fetches, "
        f"{result.turned_away} turned away, {result.fell} hosts fell over; gateways' exit codes "
        f"{', '.join(f'{code} {n} times' for code, n in Counter(result.exit_codes.values()).items())}"
    )
    for rule, name in RULES.items():
        broken = [each for each in result.broken if each.rule == rule]
        console.print(f"rule {rule}, {name}: {'kept' if not broken else f'BROKEN {len(broken)} times'}")
        for each in broken[:3]:
            console.print(f"    {(each.at - result.begun) / 1e9:.2f} s: {each.text}")


def share(value):
    return "-" if value is None else f"{value:.3f}"
