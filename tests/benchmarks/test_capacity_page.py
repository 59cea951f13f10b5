"""The capacity page shows what the measurements say; an altered figure, wherever it stands, is found."""

import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.scale import roles
from benchmarks.scale.budget import judged
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import MEASURED, Measurement, Point
from benchmarks.scale.page import BEGIN, END, LINK, PAGE, rewritten
from benchmarks.scale.roles import Row
from benchmarks.scale.tables import TABLES, PageError, breaks_first, budget, slopes
from benchmarks.scale.text import number, share

ROOT = Path(__file__).parents[2]
SIZES = (100, 400, 1_600, 6_400)


def keep(folder, name="made", slope=0.5, unit="ms"):
    """Keeps a measurement of a straight line, its plays a tenth apart."""
    points = [Point(size, [slope * size * each for each in (0.95, 1.0, 1.05)]) for size in SIZES]
    Measurement(name, "cost of things", unit, "hosts", points, "by hand").save(folder)


def row(**changes):
    """A row of the budget that stays within its limit."""
    fields = {
        "key": "gate-things",
        "role": "gate",
        "cost": "things",
        "measurement": "made",
        "at": 3_200,
        "multiplier": 2,
        "budget": 1_600,
        "unit": "ms a second",
        "mechanism": "a list",
    }
    return Row(**(fields | changes))


def command(*arguments):
    """The command line's status and what it printed."""
    ran = subprocess.run(
        [sys.executable, "-m", "benchmarks.scale", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    return ran.returncode, ran.stdout + ran.stderr


def altered(text):
    """(what, page) for each figure of a page, in tables and in the text, one digit of it another."""
    lines, kind = text.split("\n"), None
    for place, line in enumerate(lines):
        begun = BEGIN.fullmatch(line)
        kind = begun["kind"] if begun else None if line == END else kind
        places = [found.span("shown") for found in LINK.finditer(line)] if kind is None else []
        spans = [(0, len(line))] if kind and not begun else places
        for start, end in spans:
            for digit in re.finditer(r"\d", line[start:end]):
                at = start + digit.start()
                other = str((int(line[at]) + 1) % 10)
                yield (
                    kind,
                    "\n".join([*lines[:place], line[:at] + other + line[at + 1 :], *lines[place + 1 :]]),
                )


def test_the_page_agrees_with_the_measurements():
    text = PAGE.read_text()
    made, differing = rewritten(text)
    assert not differing, "python -m benchmarks.scale page makes it anew: " + "; ".join(map(str, differing))
    assert made == text


def test_the_page_of_hollow_gateways_agrees_with_the_ladders():
    text = (PAGE.parent / "hollow.md").read_text()
    assert rewritten(text) == (text, [])


def test_the_page_has_each_kind_of_table_and_linked_figures():
    text = PAGE.read_text()
    assert {found["kind"] for found in BEGIN.finditer(text)} == set(TABLES)
    assert LINK.search(text)


def test_every_digit_of_a_figure_on_the_page_is_checked():
    text = PAGE.read_text()
    wrong = list(altered(text))
    assert {kind for kind, _ in wrong} == {None, *TABLES}
    step = max(1, len(wrong) // 150)  # enough of them, in some seconds
    for kind, page in wrong[::step]:
        made, differing = rewritten(page)
        assert len(differing) == 1
        assert made == text
        assert differing[0].what.startswith("figure" if kind is None else f"table {kind}")


def test_the_command_names_the_block_that_disagrees_and_mends_it(tmp_path):
    copy = tmp_path / "copy.md"
    shutil.copy(PAGE, copy)
    assert command("check", "--page", str(copy)) == (0, "")
    kind, page = next((kind, page) for kind, page in altered(copy.read_text()) if kind == "budget")
    copy.write_text(page)
    status, output = command("check", "--page", str(copy))
    assert status == 1
    assert "table budget cells: the page shows" in output
    assert command("page", "--page", str(copy))[0] == 0
    assert copy.read_text() == PAGE.read_text()


def test_an_altered_measurement_is_found(tmp_path):
    folder = tmp_path / "scale"
    shutil.copytree(MEASURED, folder)
    name = roles.ROWS[0].measurement
    measurement = Measurement.load(name, folder)
    points = [Point(point.size, [2 * each for each in point.plays]) for point in measurement.points]
    Measurement(
        measurement.name,
        measurement.meaning,
        measurement.unit,
        measurement.parameter,
        points,
        measurement.conditions,
    ).save(folder)
    _, differing = rewritten(PAGE.read_text(), folder)
    assert any(each.what.startswith("table slopes") for each in differing)
    assert any(each.what.startswith("table budget") for each in differing)


def test_a_missing_row_or_an_added_line_is_found():
    text = PAGE.read_text()
    lines = text.split("\n")
    end = lines.index(END)
    for wrong in (lines[: end - 1] + lines[end:], [*lines[:end], "by hand", *lines[end:]]):
        made, differing = rewritten("\n".join(wrong))
        assert len(differing) == 1
        assert made == text


def test_text_outside_blocks_stays_as_it_is(tmp_path):
    keep(tmp_path)
    text = "# Title\n\nSome 12 lines, [a link](page.md), [one](other.json).\n"
    assert rewritten(text, tmp_path) == (text, [])


@pytest.mark.parametrize(
    ("description", "shown"),
    [
        ("measured at 400", "200 ms"),
        ("predicted at 12,800", "6,400 ms"),
        ("stretch at 64000", "10 times"),
        ("stretch at 400", "1 times"),
        ("residual", "0.0%"),
        ("spread", "10%"),
    ],
)
def test_a_figure_of_a_measurement(tmp_path, description, shown):
    keep(tmp_path)
    made, _ = rewritten(f'[?](measured/scale/made.json "{description}")', tmp_path)
    assert made == f'[{shown}](measured/scale/made.json "{description}")'


def test_a_figure_of_the_size_and_of_a_row(tmp_path, monkeypatch):
    keep(tmp_path)
    monkeypatch.setattr(roles, "ROWS", (row(),))
    made, _ = rewritten('[?](a/size.py "GATEWAYS") [?](a/size.py "CONTROL_CPU share")', tmp_path)
    assert made == '[16,000](a/size.py "GATEWAYS") [1.8%](a/size.py "CONTROL_CPU share")'
    made, _ = rewritten('[?](a/roles.py "gate-things factor") [?](a/roles.py "gate-things state")', tmp_path)
    assert made == (
        '[2 times](a/roles.py "gate-things factor") [exists to 1,600](a/roles.py "gate-things state")'
    )


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("<!-- table: nothing -->\n<!-- end -->", "no such table: nothing"),
        ("<!-- table: budget -->\n| a |", "has no <!-- end -->"),
        ("<!-- table: budget nobody -->\n<!-- end -->", "no such role: nobody"),
        ("<!-- table: slopes made -->\n<!-- end -->", "a size is needed"),
        ("<!-- table: slopes made@NOTHING -->\n<!-- end -->", "no such size: NOTHING"),
        ("<!-- table: slopes other@400 -->\n<!-- end -->", "no measurement is named other"),
        ("<!-- table: breaks-first now -->\n<!-- end -->", "takes no words"),
        ('[1](made.json "measured at 401")', "was not measured at 401"),
        ('[1](made.json "guessed at 400")', "has no guessed at 400"),
        ('[1](other.json "residual")', "other.json"),
        ('[1](size.py "NOTHING")', "no such size: NOTHING"),
        ('[1](size.py "GATEWAYS many")', "a size has no many"),
        ('[1](roles.py "nothing factor")', "no such row: nothing"),
        ('[1](other.py "GATEWAYS")', "no figures come from other.py"),
    ],
)
def test_what_does_not_exist_is_refused_with_its_line(tmp_path, text, fault):
    keep(tmp_path)
    with pytest.raises(PageError, match=re.escape(fault)) as refused:
        rewritten(f"# Title\n{text}", tmp_path)
    assert str(refused.value).startswith("line 2")


def test_a_page_that_cannot_be_read_ends_the_command(tmp_path):
    assert command("check", "--page", str(tmp_path / "none.md"))[0] == 1
    (tmp_path / "page.md").write_text("<!-- table: nothing -->\n<!-- end -->")
    for act in ("check", "page"):
        status, output = command(act, "--page", str(tmp_path / "page.md"))
        assert status == 1
        assert "no such table: nothing" in output


def test_a_slope_shows_its_fit_and_its_stretch(tmp_path):
    keep(tmp_path)
    near, far = slopes(["made@12800", "made@128000"], tmp_path)[2:]
    assert near.startswith("| made | cost of things | ms | 100 to 6,400 hosts |")
    assert near.endswith("| 0.0% | 10% | 1 | 6,400 at 12,800, stretched 2 times |")
    assert far.endswith("| 64,000 at 128,000, **stretched** 20 times |")


def test_a_pattern_stands_for_the_measurements_by_name(tmp_path):
    keep(tmp_path, "things-by-size"), keep(tmp_path, "calls-by-size"), keep(tmp_path, "calls-by-day")
    names = [line.split(" ")[1] for line in slopes(["*-by-size@400"], tmp_path)[2:]]
    assert names == ["calls-by-size", "things-by-size"]


def test_a_row_over_its_budget_exists_to_the_size_it_suffices_for(tmp_path):
    """Twice half a millisecond for each host: 1,600 ms suffice for 1,600 hosts."""
    keep(tmp_path)
    verdict = judged(row(), tmp_path)
    assert verdict.predicted == pytest.approx(3_200)
    assert verdict.factor == pytest.approx(2.0)
    assert verdict.state == "exists to 1,600"
    assert verdict.stretched == ""
    assert judged(row(budget=1_999), tmp_path).state == "exists to 1,900"


def test_a_row_within_its_budget_exists(tmp_path):
    keep(tmp_path)
    verdict = judged(row(budget=4_000), tmp_path)
    assert verdict.state == "exists"
    assert verdict.factor == pytest.approx(0.8)


def test_a_budget_below_the_smallest_size_is_marked(tmp_path):
    keep(tmp_path)
    assert judged(row(budget=10), tmp_path).state == "exists to under 100"


def test_a_row_far_beyond_the_measured_sizes_says_so(tmp_path):
    keep(tmp_path)
    assert judged(row(at=64_000), tmp_path).stretched == ""
    assert judged(row(at=128_000), tmp_path).stretched == "stretched 20 times"


def test_a_missing_mechanism_is_not_predicted(tmp_path, monkeypatch):
    monkeypatch.setattr(roles, "ROWS", (row(measurement=None),))
    assert budget([], tmp_path)[2] == (
        "| gate | things | 3,200 | - | 1,600 ms a second | - | a list | missing |"
    )
    assert breaks_first([], tmp_path)[2] == "| gate | things | - | missing |"


def test_what_breaks_first_comes_first(tmp_path, monkeypatch):
    keep(tmp_path)
    costs = {"within": 6_400, "twice": 1_600, "thrice": 1_066, "at": 3_200}
    rows = tuple(row(key=key, cost=key, budget=limit) for key, limit in costs.items())
    monkeypatch.setattr(roles, "ROWS", (*rows, row(cost="none", measurement=None)))
    rows = [line.split(" | ")[1:3] for line in breaks_first([], tmp_path)[2:]]
    assert rows == [["none", "-"], ["thrice", "3 times"], ["twice", "2 times"]]


def test_the_rows_are_whole():
    assert len({each.key for each in roles.ROWS}) == len(roles.ROWS)
    for each in roles.ROWS:
        assert each.budget > 0
        assert each.multiplier > 0
        assert each.at > 0
        if each.measurement is not None:
            assert fit(Measurement.load(each.measurement)).residual < 1


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"),
        (16_000, "16,000"),
        (390_000, "390,000"),
        (1_907_422.4, "1,910,000"),
        (161.34, "161"),
        (999.96, "1,000"),
        (5.868, "5.87"),
        (0.00043712, "0.000437"),
        (-12.34, "-12.3"),
    ],
)
def test_numbers_have_three_digits(value, text):
    assert number(value) == text


def test_shares_are_per_cent():
    assert (share(0.0312), share(0.31)) == ("3.1%", "31%")
