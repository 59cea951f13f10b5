"""The pages as they stand in the repository."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
MARKERS = ("<<<<<<< ", ">>>>>>> ", "||||||| ")  # of a merge that was not resolved
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)\s]*)?\)")
ELSEWHERE = ("http://", "https://")


def pages():
    found = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
    assert len(found) > 20
    return found


def test_no_page_holds_the_marker_of_a_conflict():
    found = [
        f"{page.relative_to(ROOT)}:{number}"
        for page in pages()
        for number, line in enumerate(page.read_text().splitlines(), 1)
        if line.startswith(MARKERS)
    ]
    assert found == []


def test_every_link_between_pages_leads_to_a_file():
    dead = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in pages()
        for target in LINK.findall(page.read_text())
        if not target.startswith(ELSEWHERE) and not (page.parent / target).exists()
    ]
    assert dead == []


def test_the_list_of_pages_names_every_page():
    listed = {(DOCS / target).resolve() for target in LINK.findall((DOCS / "README.md").read_text())}
    missing = [page.name for page in DOCS.glob("*.md") if page.name != "README.md" and page not in listed]
    assert missing == []


def test_the_glossary_is_in_alphabetical_order_and_each_term_stands_once():
    rows = [line for line in (DOCS / "glossary.md").read_text().splitlines() if line.startswith("| ")]
    terms = [row.split(" | ")[0].removeprefix("| ").lower() for row in rows if not row.startswith("| ---")]
    assert terms[0] == "term"
    assert terms[1:] == sorted(set(terms[1:]))
