"""The page that on-call engineers read names what the programs log, and every warning and error of theirs.

Tables with a column `event` are read: see `read_tables`.
"""

import re
from pathlib import Path

import pytest
from written_log import WrittenLog, operators_keys, read_written_log

from gaproute.appliance.legacy_names import EVENTS

PAGE = Path(__file__).parents[2] / "docs" / "on-call.md"
QUOTED = re.compile(r"`([^`]+)`")
SNAKE_CASE = re.compile(r"[a-z][a-z0-9]*(_[a-z0-9]+)+")
COUNTER_PREFIX = "counts."  # of a counter in a column `fields`


@pytest.fixture(scope="module")
def written():
    return read_written_log()


def read_tables(page):
    """The rows of all tables that have a column `event`: their cells by the column's heading."""
    columns = None
    for line in page.splitlines():
        if not line.startswith("|"):
            columns = None
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if columns is None:
            columns = cells
        elif "event" in columns and not set(line) <= set("|-: "):
            yield dict(zip(columns, cells, strict=True))


def mistakes(page, written):
    """What the page names wrongly, and what it leaves out."""
    named = set()
    for row in read_tables(page):
        events = QUOTED.findall(row["event"])
        named |= set(events)
        if not events:
            yield f"a row without an event: {row}"
        yield from (f"no event: {event}" for event in events if event not in written.levels)
        yield from _wrong_fields(row, events, written)
        values = QUOTED.findall(row.get("values", ""))
        yield from (f"no value: {value}" for value in values if value not in written.values)
        for heading, cell in row.items():
            if heading not in ("event", "fields", "values"):
                names = filter(SNAKE_CASE.fullmatch, QUOTED.findall(cell))
                yield from (
                    f"neither event nor field: {name}" for name in names if name not in written.names()
                )
    yield from (f"not on the page: {event}" for event in sorted(written.loud() - named))


def _wrong_fields(row, events, written):
    fields = written.common_fields.union(*(written.fields.get(event, set()) for event in events))
    for name in QUOTED.findall(row.get("fields", "")):
        if name.startswith(COUNTER_PREFIX):
            if name.removeprefix(COUNTER_PREFIX) not in written.counters:
                yield f"no counter: {name}"
        elif name not in fields:
            yield f"no field of {events}: {name}"


def test_every_event_and_field_is_written_by_a_name_that_can_be_read(written):
    assert written.unreadable == []
    assert len(written.levels) > 40
    assert {"result", "reason", "same_function_requests"} <= written.fields["request_step"]
    assert {"counts", "unmatched_responses"} <= written.fields["status"]
    names = set(written.levels).union(*written.fields.values()) | written.counters
    assert [name for name in names if not re.fullmatch(r"[a-z][a-z0-9_]*", name)] == []


def test_the_page_names_what_is_logged_and_every_warning_and_error(written):
    assert list(mistakes(PAGE.read_text(), written)) == []


def test_the_text_of_the_page_names_what_is_logged_or_read_at_the_operators_address(written):
    names = filter(SNAKE_CASE.fullmatch, QUOTED.findall(PAGE.read_text()))
    assert set(names) - written.names() - operators_keys() == set()


def test_each_event_that_operators_can_ask_for_keeps_its_first_name(written):
    assert written.recorded == set(EVENTS)
    for event, legacy in EVENTS.items():
        assert set(legacy.fields) <= written.fields[event], event


HEAD = "| event | fields | values | what to do |\n| --- | --- | --- | --- |\n"
WHOLE = HEAD + "| `lost` | `host`, `at`, `counts.received` | `moved` | look at `host` and `cells FILE` |\n"


@pytest.mark.parametrize(
    ("page", "expected"),
    [
        (WHOLE, []),
        ("| seen | then |\n| --- | --- |\n| `lose` | |\n\n" + WHOLE, []),  # a table without events
        (
            WHOLE.replace("`lost`", "`lose`"),
            ["no event: lose", "no field of ['lose']: host", "not on the page: lost"],
        ),
        (WHOLE.replace("`lost`", "lost"), None),
        (WHOLE.replace("`host`,", "`reason`,"), ["no field of ['lost']: reason"]),
        (WHOLE.replace("counts.received", "counts.taken"), ["no counter: counts.taken"]),
        (WHOLE.replace("moved", "gone"), ["no value: gone"]),
        (WHOLE.replace("look at `host`", "look at `host_name`"), ["neither event nor field: host_name"]),
        (HEAD, ["not on the page: lost"]),
        (WHOLE.replace("`lost`", "`met`"), ["no field of ['met']: host", "not on the page: lost"]),
    ],
)
def test_a_page_that_names_something_else_or_too_little_is_found(page, expected):
    written = WrittenLog(common_fields={"at"}, counters={"received"}, values={"moved"})
    written.add("lost", "warning", {"host"})
    written.add("met", "info", {"reason"})
    found = list(mistakes(page, written))
    assert found == expected if expected is not None else found


@pytest.mark.parametrize("event", ["child_exited", "unhandled_exception", "configuration_rejected"])
def test_an_event_that_is_renamed_in_the_code_alone_is_found(written, event):
    renamed = WrittenLog(
        written.levels.copy(), written.fields.copy(), written.common_fields, written.counters
    )
    renamed.values = written.values
    renamed.levels["other_name"] = renamed.levels.pop(event)
    renamed.fields["other_name"] = renamed.fields.pop(event)
    found = list(mistakes(PAGE.read_text(), renamed))
    assert f"no event: {event}" in found
    assert "not on the page: other_name" in found
