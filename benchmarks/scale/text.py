"""Numbers as pages show them."""

import math


def number(value: float, digits: int = 3) -> str:
    """`digits` significant digits, thousands by commas, no exponents; whole numbers below 100,000 in full."""
    if value == 0:
        return "0"
    if float(value).is_integer() and abs(value) < 100_000:
        return f"{int(value):,}"
    places = digits - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, places)
    text = f"{rounded:,.{max(0, places)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def share(value: float) -> str:
    """A share as per cent."""
    return f"{value:.1%}" if value < 0.1 else f"{value:.0%}"


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    """Lines of a Markdown table."""
    return [
        f"| {' | '.join(head)} |",
        f"|{' --- |' * len(head)}",
        *(f"| {' | '.join(row)} |" for row in rows),
    ]
