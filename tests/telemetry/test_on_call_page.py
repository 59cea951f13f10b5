"""The page for on-call engineers names only what the programs log, and every warning and error that they log.

The checked tables are those with a column `event`: see `read_tables`.
"""

import re
from pathlib import Path

import pytest
from written_log import WrittenLog, operators_keys, read_written_log

from gaproute.appliance.legacy_names import LEGACY_EVENTS

PAGE = Path(__file__).parents[2] / "docs" / "on-call.md"
QUOTED = re.compile(r"`([^`]+)`")
SNAKE_CASE = re.compile(r"[a-z][a-z0-9]*(_[a-z0-9]+)+")
COUNTER_PREFIX = "counts."  # marks a counter in the column `fields`


@pytest.fixture(scope="module")
def written():
    return read_written_log()


def read_tables(page):
    """Yields the rows of all tables with a column `event`: {column heading: cell}."""
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


def find_mistakes(page, written):
    """Yields the unknown names on the page and the events that it leaves out."""
    named_events = set()
    for row in read_tables(page):
        events = QUOTED.findall(row["event"])
        named_events |= set(events)
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
    yield from (f"not on the page: {event}" for event in sorted(written.warnings_and_errors() - named_events))


def _wrong_fields(row, events, written):
    fields = written.common_fields.union(*(written.fields.get(event, set()) for event in events))
    for name in QUOTED.findall(row.get("fields", "")):
        if name.startswith(COUNTER_PREFIX):
            if name.removeprefix(COUNTER_PREFIX) not in written.counters:
                yield f"no counter: {name}"
        elif name not in fields:
            yield f"no field of {events}: {name}"


def test_all_log_calls_have_determinable_events_and_fields_in_snake_case(written):
    assert written.unreadable == []
    assert len(written.levels) > 40
    assert {"result", "reason", "same_function_requests"} <= written.fields["request_step"]
    assert {"counts", "unmatched_responses"} <= written.fields["status"]
    names = set(written.levels).union(*written.fields.values()) | written.counters
    assert [name for name in names if not re.fullmatch(r"[a-z][a-z0-9_]*", name)] == []


def test_the_tables_name_only_logged_events_and_every_warning_and_error(written):
    assert list(find_mistakes(PAGE.read_text(), written)) == []


def test_the_text_names_only_what_is_logged_or_readable_at_the_operators_address(written):
    names = filter(SNAKE_CASE.fullmatch, QUOTED.findall(PAGE.read_text()))
    assert set(names) - written.names() - operators_keys() == set()


def test_each_event_at_the_operators_address_has_a_legacy_name(written):
    assert written.recorded == set(LEGACY_EVENTS)
    for event, legacy in LEGACY_EVENTS.items():
        assert set(legacy.fields) <= written.fields[event], event


TABLE_HEAD = "| event | fields | values | what to do |\n| --- | --- | --- | --- |\n"
CORRECT_PAGE = (
    TABLE_HEAD + "| `lost` | `host`, `at`, `counts.received` | `moved` | look at `host` and `cells FILE` |\n"
)


@pytest.mark.parametrize(
    ("page", "expected"),
    [
        (CORRECT_PAGE, []),
        ("| seen | then |\n| --- | --- |\n| `lose` | |\n\n" + CORRECT_PAGE, []),  # a table without events
        (
            CORRECT_PAGE.replace("`lost`", "`lose`"),
            ["no event: lose", "no field of ['lose']: host", "not on the page: lost"],
        ),
        (CORRECT_PAGE.replace("`lost`", "lost"), None),
        (CORRECT_PAGE.replace("`host`,", "`reason`,"), ["no field of ['lost']: reason"]),
        (CORRECT_PAGE.replace("counts.received", "counts.taken"), ["no counter: counts.taken"]),
        (CORRECT_PAGE.replace("moved", "gone"), ["no value: gone"]),
        (
            CORRECT_PAGE.replace("look at `host`", "look at `host_name`"),
            ["neither event nor field: host_name"],
        ),
        (TABLE_HEAD, ["not on the page: lost"]),
        (CORRECT_PAGE.replace("`lost`", "`met`"), ["no field of ['met']: host", "not on the page: lost"]),
    ],
)
def test_wrong_and_missing_names_on_a_page_are_found(page, expected):
    written = WrittenLog(common_fields={"at"}, counters={"received"}, values={"moved"})
    written.add("lost", "warning", {"host"})
    written.add("met", "info", {"reason"})
    found = list(find_mistakes(page, written))
    assert found == expected if expected is not None else found


@pytest.mark.parametrize("event", ["child_exited", "unhandled_exception", "configuration_rejected"])
def test_an_event_renamed_only_in_the_code_is_found(written, event):
    renamed = WrittenLog(
        written.levels.copy(), written.fields.copy(), written.common_fields, written.counters
    )
    renamed.values = written.values
    renamed.levels["other_name"] = renamed.levels.pop(event)
    renamed.fields["other_name"] = renamed.fields.pop(event)
    found = list(find_mistakes(PAGE.read_text(), renamed))
    assert f"no event: {event}" in found
    assert "not on the page: other_name" in found
