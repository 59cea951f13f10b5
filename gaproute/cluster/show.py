"""A cluster's verdict for a person, 80 columns wide."""

from gaproute.scenarios import result_table


def show(verdict, console):
    if verdict.whole:
        result_table.print_result(verdict, console)
    late = ", ".join(f"{who} {late:.0f} ms" for who, late in verdict.late.items())
    console.print(f"late at most: {late}; ready after {verdict.plain()['ready_s']} s")
    for text in [*verdict.void, *verdict.faulty[:10]]:
        console.print(f"    {text}")
    console.print(f"verdict: {verdict.verdict}")
