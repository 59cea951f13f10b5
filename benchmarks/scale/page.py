"""A Markdown page whose figures are made of the kept measurements.

Two things of a page are rewritten, all else stays as its author wrote it:

- a block, everything between `<!-- table: KIND WORD ... -->` and `<!-- end -->`, both on lines of their own;
  the kinds are those of `tables.TABLES`;
- a figure in the text, written as a link whose title tells what it is:
  `[161 ms](measured/scale/NAME.json "measured at 25600")`, or "predicted at" a size, "residual", "spread",
  "stretch at" a size; `[16,000](../benchmarks/scale/size.py "GATEWAYS")`, per cent by "CONTROL_CPU share";
  `[58 times](../benchmarks/scale/roles.py "gateway-list-memory factor")`, or "predicted", "budget", "state".
"""

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

    def __str__(self):
        return f"line {self.line}, {self.what}: the page shows {self.shown!r}, measured is {self.made!r}"


def rewritten(text: str, folder: Path = MEASURED) -> tuple[str, list[Disagreement]]:
    """The page with its blocks and figures made anew, and where it differed. Errors: PageError."""
    lines, differing, place = [], [], 0
    told = text.split("\n")
    while place < len(told):
        begun = BEGIN.fullmatch(told[place])
        if begun is None:
            lines.append(_with_figures(told[place], place + 1, folder, differing))
            place += 1
            continue
        if END not in told[place:]:
            raise PageError(f"line {place + 1}: {told[place]} has no {END}")
        end = told.index(END, place)
        made = _block(begun, place + 1, folder)
        differing += _differing(begun, place + 1, told[place + 1 : end], made)
        lines += [told[place], *made, END]
        place = end + 1
    return "\n".join(lines), differing


def _block(begun, line, folder):
    """The lines that belong into a block."""
    if begun["kind"] not in TABLES:
        raise PageError(f"line {line}: no such table: {begun['kind']}")
    try:
        return TABLES[begun["kind"]](begun["words"].split(), folder)
    except (PageError, MeasurementError) as fault:
        raise PageError(f"line {line}, table {begun['kind']}: {fault}") from fault


def _differing(begun, line, shown, made):
    """The first line of a block that differs, if any does."""
    if shown == made:
        return []
    longest = max(len(shown), len(made))
    pairs = zip(shown + [""] * (longest - len(shown)), made + [""] * (longest - len(made)), strict=True)
    was, now = next(pair for pair in pairs if pair[0] != pair[1])
    return [Disagreement(line, f"table {begun['kind']}{begun['words']}", was, now)]


def _with_figures(text, line, folder, differing):
    """A line of text with its figures made anew; where they differed is added to `differing`."""

    def renew(link):
        try:
            made = figure(Path(link["path"]).name, link["title"], folder)
        except (PageError, MeasurementError) as fault:
            raise PageError(f"line {line}, figure {link['title']}: {fault}") from fault
        if made != link["shown"]:
            differing.append(Disagreement(line, f"figure {link['title']}", link["shown"], made))
        return f'[{made}]({link["path"]} "{link["title"]}")'

    return LINK.sub(renew, text)
