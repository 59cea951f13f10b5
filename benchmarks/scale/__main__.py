"""Measures costs by size, and keeps a page's figures as the measurements are.

python -m benchmarks.scale list | measure [--label LABEL] [NAME ...] | fits | page [--page PATH] | check [...]
"""

import argparse
import platform
import subprocess
import sys
from dataclasses import replace
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

from benchmarks.scale import costs
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import MEASURED, Measurement
from benchmarks.scale.page import PAGE, rewritten
from benchmarks.scale.tables import PageError


def registry():
    """{name: function that measures it}, over all modules of `costs`."""
    found = {}
    for module in iter_modules(costs.__path__):
        found |= import_module(f"{costs.__name__}.{module.name}").MEASUREMENTS
    return found


def measure(names, label):
    """Measures and keeps what is named, or all; `label` tells the program measured.

    Errors: SystemExit for a name that does not exist."""
    known = registry()
    unknown = [name for name in names if name not in known]
    if unknown:
        sys.exit(f"no such measurement: {', '.join(unknown)}")
    for name in names or known:
        made = known[name]()
        made = replace(made, conditions=f"{label}; {made.conditions}" if made.conditions else label)
        made.save()
        print(f"{name}: {fit(made).formula} {made.unit} by {made.parameter}", flush=True)


def program():
    """The label of the program as it stands: its revision and the interpreter."""
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=Path(__file__).parent, capture_output=True, text=True
    )
    return f"program {revision.stdout.strip() or 'unknown'}, Python {platform.python_version()}"


def fits():
    """Prints each kept measurement's fit."""
    kept_paths = [path for path in MEASURED.glob("*.json") if not path.name.startswith("ladder-")]
    for path in sorted(kept_paths):
        kept = Measurement.load(path.stem)
        found = fit(kept)
        print(f"{kept.name}: {found.formula} {kept.unit}, {found.form}, residual {found.residual:.1%}")


def rewrite(page):
    """Makes the page's tables and figures anew. Errors: SystemExit."""
    text, differing = _made(page)
    page.write_text(text)
    print(f"{page}: {len(differing)} tables and figures made anew")


def check(page):
    """Ends with status 1, naming each table and figure that disagrees with the measurements."""
    _, differing = _made(page)
    if differing:
        sys.exit("\n".join(f"{page}, {each}" for each in differing))


def _made(page):
    """The page as the measurements have it, and where it differs."""
    try:
        return rewritten(page.read_text())
    except (OSError, PageError) as fault:
        sys.exit(f"{page}: {fault}")


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("act", choices=("list", "measure", "fits", "page", "check"))
    parser.add_argument("names", nargs="*")
    parser.add_argument("--label", help="the program measured; its revision where not given")
    parser.add_argument("--page", type=Path, default=PAGE, help="the page that is made anew or checked")
    told = parser.parse_intermixed_args()
    if told.act == "list":
        print("\n".join(registry()))
    elif told.act == "measure":
        measure(told.names, told.label or program())
    elif told.act == "fits":
        fits()
    elif told.act == "page":
        rewrite(told.page)
    else:
        check(told.page)


if __name__ == "__main__":
    main()
