"""Measures costs by size, and renews a page's figures from the measurements.

python -m benchmarks.scale list | measure [--label LABEL] [NAME ...] | fits | page [--page PATH] | check [...]
"""

import argparse
import platform
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import replace
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

from benchmarks.scale import costs
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import MEASURED, Measurement, Measurements
from benchmarks.scale.page import PAGE, Disagreement, rewritten
from benchmarks.scale.tables import PageError


def registry() -> Measurements:
    """{name: function that measures it}, over all modules of `costs`."""
    found: Measurements = {}
    for module in iter_modules(costs.__path__):
        found |= import_module(f"{costs.__name__}.{module.name}").MEASUREMENTS
    return found


def measure(names: Sequence[str], label: str) -> None:
    """Measure and store what is named, or all; `label` names the program measured.

    Raises SystemExit for a name that does not exist.
    """
    known = registry()
    unknown = [name for name in names if name not in known]
    if unknown:
        sys.exit(f"no such measurement: {', '.join(unknown)}")
    for name in names or known:
        made = known[name]()
        made = replace(made, conditions=f"{label}; {made.conditions}" if made.conditions else label)
        made.save()
        print(f"{name}: {fit(made).formula} {made.unit} by {made.parameter}", flush=True)


def program() -> str:
    """The label of the program as it stands: its revision and the interpreter."""
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=Path(__file__).parent, capture_output=True, text=True
    )
    return f"program {revision.stdout.strip() or 'unknown'}, Python {platform.python_version()}"


def fits() -> None:
    """Print each stored measurement's fit."""
    for path in sorted(MEASURED.glob("*.json")):
        stored = Measurement.load(path.stem)
        found = fit(stored)
        print(f"{stored.name}: {found.formula} {stored.unit}, {found.form}, residual {found.residual:.1%}")


def rewrite(page: Path) -> None:
    """Make the page's tables and figures anew. Raises SystemExit."""
    text, differing = _renewed(page)
    page.write_text(text)
    print(f"{page}: {len(differing)} tables and figures made anew")


def check(page: Path) -> None:
    """End with status 1, naming each table and figure that disagrees with the measurements."""
    _, differing = _renewed(page)
    if differing:
        sys.exit("\n".join(f"{page}, {each}" for each in differing))


def _renewed(page: Path) -> tuple[str, list[Disagreement]]:
    """The page as the measurements have it, and where it differs."""
    try:
        return rewritten(page.read_text())
    except (OSError, PageError) as error:
        sys.exit(f"{page}: {error}")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("act", choices=("list", "measure", "fits", "page", "check"))
    parser.add_argument("names", nargs="*")
    parser.add_argument("--label", help="the program measured; its revision where not given")
    parser.add_argument("--page", type=Path, default=PAGE, help="the page that is made anew or checked")
    arguments = parser.parse_intermixed_args()
    if arguments.act == "list":
        print("\n".join(registry()))
    elif arguments.act == "measure":
        measure(arguments.names, arguments.label or program())
    elif arguments.act == "fits":
        fits()
    elif arguments.act == "page":
        rewrite(arguments.page)
    else:
        check(arguments.page)


if __name__ == "__main__":
    main()
