"""A Markdown page whose figures are made of the kept measurements.

Two things of a page are rewritten, all else stays as its author wrote it:

- a block, everything between `<!-- table: KIND WORD ... -->` and `<!-- end -->`, both on lines of their own;
  the kinds are those of `tables.TABLES`;
- a figure in the text, written as a link whose title tells what it is:
  `[161 ms](measured/scale/NAME.json "measured at 25600")`, or "predicted at" a size, "residual", "spread",
  "stretch at" a size; `[16,000](../benchmarks/scale/size.py "GATEWAYS")`, per cent by "CONTROL_CPU share";
  `[58 times](../benchmarks/scale/roles.py "gateway-list-memory factor")`, or "predicted", "budget", "state".
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale.figures import figure
from benchmarks.scale.measurement import MEASURED, MeasurementError
from benchmarks.scale.tables import TABLES, PageError

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
BEGIN = re.compile(r"<!-- table: (?P<kind>\S+)(?P<words>( \S+)*) -->")
END = "<!-- end -->"
LINK = re.compile(r'\[(?P<shown>[^]]*)\]\((?P<path>[^ )]*\.(json|py)) "(?P<title>[^"]*)"\)')


@dataclass(frozen=True)
class Disagreement:
    """What a page shows and the measurements do not."""

    line: int
    what: str
    shown: str
    made: str

    def __str__(self) -> str:
        return f"line {self.line}, {self.what}: the page shows {self.shown!r}, measured is {self.made!r}"


def rewritten(text: str, folder: Path = MEASURED) -> tuple[str, list[Disagreement]]:
    """The page with its blocks and figures made anew, and where it differed. Errors: PageError."""
    lines: list[str] = []
    differing: list[Disagreement] = []
    place, old_lines = 0, text.split("\n")
    while place < len(old_lines):
        block = BEGIN.fullmatch(old_lines[place])
        if block is None:
            lines.append(_with_figures(old_lines[place], place + 1, folder, differing))
            place += 1
            continue
        if END not in old_lines[place:]:
            raise PageError(f"line {place + 1}: {old_lines[place]} has no {END}")
        end = old_lines.index(END, place)
        made = _block(block, place + 1, folder)
        differing += _differing(block, place + 1, old_lines[place + 1 : end], made)
        lines += [old_lines[place], *made, END]
        place = end + 1
    return "\n".join(lines), differing


def _block(block: re.Match[str], line: int, folder: Path) -> list[str]:
    """The lines that belong into a block."""
    if block["kind"] not in TABLES:
        raise PageError(f"line {line}: no such table: {block['kind']}")
    try:
        return TABLES[block["kind"]](block["words"].split(), folder)
    except (PageError, MeasurementError) as fault:
        raise PageError(f"line {line}, table {block['kind']}: {fault}") from fault


def _differing(block: re.Match[str], line: int, shown: list[str], made: list[str]) -> list[Disagreement]:
    """The first line of a block that differs, if any does."""
    if shown == made:
        return []
    longest = max(len(shown), len(made))
    pairs = zip(shown + [""] * (longest - len(shown)), made + [""] * (longest - len(made)), strict=True)
    was, now = next(pair for pair in pairs if pair[0] != pair[1])
    return [Disagreement(line, f"table {block['kind']}{block['words']}", was, now)]


def _with_figures(text: str, line: int, folder: Path, differing: list[Disagreement]) -> str:
    """A line of text with its figures made anew; where they differed is added to `differing`."""

    def renew(link: re.Match[str]) -> str:
        try:
            made = figure(Path(link["path"]).name, link["title"], folder)
        except (PageError, MeasurementError) as fault:
            raise PageError(f"line {line}, figure {link['title']}: {fault}") from fault
        if made != link["shown"]:
            differing.append(Disagreement(line, f"figure {link['title']}", link["shown"], made))
        return f'[{made}]({link["path"]} "{link["title"]}")'

    return LINK.sub(renew, text)
