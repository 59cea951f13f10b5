"""A Markdown page whose figures are made of the stored measurements.

Two things of a page are rewritten; all else stays as its author wrote it:

- a block, everything between `<!-- table: KIND ARGUMENT ... -->` and `<!-- end -->`, each on its own line;
  the kinds are those of `tables.TABLES`;
- a figure in the text, written as a link whose title says what it is:
  `[161 ms](measured/scale/NAME.json "measured at 25600")`, or "predicted at" a size, "residual", "spread",
  "stretch at" a size; `[16,000](../benchmarks/scale/size.py "GATEWAYS")`, per cent by "CONTROL_CPU share";
  `[58 times](../benchmarks/scale/roles.py "gateway-list-memory factor")`, or "predicted", "budget", "state".
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import zip_longest
from pathlib import Path

from benchmarks.scale.figures import figure
from benchmarks.scale.measurement import MEASURED, MeasurementError
from benchmarks.scale.tables import TABLES, PageError

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
BEGIN = re.compile(r"<!-- table: (?P<kind>\S+)(?P<arguments>( \S+)*) -->")
END = "<!-- end -->"
LINK = re.compile(r'\[(?P<shown>[^]]*)\]\((?P<path>[^ )]*\.(json|py)) "(?P<title>[^"]*)"\)')


@dataclass(frozen=True)
class Disagreement:
    """A table or figure of a page that differs from the measurements. `line` counts from 1."""

    line: int
    what: str
    shown: str
    made: str

    def __str__(self) -> str:
        return f"line {self.line}, {self.what}: the page shows {self.shown!r}, measured is {self.made!r}"


def rewritten(text: str, folder: Path = MEASURED) -> tuple[str, list[Disagreement]]:
    """The page with its blocks and figures made anew, and where it differed. Raises PageError."""
    lines: list[str] = []
    differing: list[Disagreement] = []
    place, current = 0, text.split("\n")
    while place < len(current):
        opening = BEGIN.fullmatch(current[place])
        if opening is None:
            lines.append(_with_figures(current[place], place + 1, folder, differing))
            place += 1
            continue
        if END not in current[place:]:
            raise PageError(f"line {place + 1}: {current[place]} has no {END}")
        end = current.index(END, place)
        made = _block(opening, place + 1, folder)
        differing += _differing(opening, place + 1, current[place + 1 : end], made)
        lines += [current[place], *made, END]
        place = end + 1
    return "\n".join(lines), differing


def _block(opening: re.Match[str], line: int, folder: Path) -> list[str]:
    """The lines that belong into a block."""
    if opening["kind"] not in TABLES:
        raise PageError(f"line {line}: no such table: {opening['kind']}")
    try:
        return TABLES[opening["kind"]](opening["arguments"].split(), folder)
    except (PageError, MeasurementError) as error:
        raise PageError(f"line {line}, table {opening['kind']}: {error}") from error


def _differing(
    opening: re.Match[str], line: int, shown: Sequence[str], made: Sequence[str]
) -> list[Disagreement]:
    """The first line of a block that differs, if any does."""
    if shown == made:
        return []
    pairs = zip_longest(shown, made, fillvalue="")
    was, now = next(pair for pair in pairs if pair[0] != pair[1])
    return [Disagreement(line, f"table {opening['kind']}{opening['arguments']}", was, now)]


def _with_figures(text: str, line: int, folder: Path, differing: list[Disagreement]) -> str:
    """A line of text with its figures made anew; where they differed is added to `differing`."""

    def renew(link: re.Match[str]) -> str:
        try:
            made = figure(Path(link["path"]).name, link["title"], folder)
        except (PageError, MeasurementError) as error:
            raise PageError(f"line {line}, figure {link['title']}: {error}") from error
        if made != link["shown"]:
            differing.append(Disagreement(line, f"figure {link['title']}", link["shown"], made))
        return f'[{made}]({link["path"]} "{link["title"]}")'

    return LINK.sub(renew, text)
