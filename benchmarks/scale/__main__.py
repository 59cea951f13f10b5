"""Measures costs by size: `python -m benchmarks.scale list | measure [NAME ...] | fits`."""

import argparse
import sys
from importlib import import_module
from pkgutil import iter_modules

from benchmarks.scale import costs
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import MEASURED, Measurement


def registry():
    """{name: function that measures it}, over all modules of `costs`."""
    found = {}
    for module in iter_modules(costs.__path__):
        found |= import_module(f"{costs.__name__}.{module.name}").MEASUREMENTS
    return found


def measure(names):
    """Measures and keeps what is named, or all. Errors: SystemExit for a name that does not exist."""
    known = registry()
    unknown = [name for name in names if name not in known]
    if unknown:
        sys.exit(f"no such measurement: {', '.join(unknown)}")
    for name in names or known:
        made = known[name]()
        made.save()
        print(f"{name}: {fit(made).formula} {made.unit} by {made.parameter}", flush=True)


def fits():
    """Prints each kept measurement's fit."""
    kept_paths = [path for path in MEASURED.glob("*.json") if not path.name.startswith("ladder-")]
    for path in sorted(kept_paths):
        kept = Measurement.load(path.stem)
        found = fit(kept)
        print(f"{kept.name}: {found.formula} {kept.unit}, {found.form}, residual {found.residual:.1%}")


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("act", choices=("list", "measure", "fits"))
    parser.add_argument("names", nargs="*")
    told = parser.parse_args()
    if told.act == "list":
        print("\n".join(registry()))
    elif told.act == "measure":
        measure(told.names)
    else:
        fits()


if __name__ == "__main__":
    main()
