"""The pages as they stand in the repository."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
MARKERS = ("<<<<<<< ", ">>>>>>> ", "||||||| ")  # of a merge that was not resolved


def test_no_page_holds_the_marker_of_a_conflict():
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    assert len(pages) > 20
    found = [
        f"{page.relative_to(ROOT)}:{number}"
        for page in pages
        for number, line in enumerate(page.read_text().splitlines(), 1)
        if line.startswith(MARKERS)
    ]
    assert found == []
