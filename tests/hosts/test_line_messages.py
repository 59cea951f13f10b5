"""What lines of hosts say: how they are read from bytes, and decoded into answers and load reports."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.hosts.jsonlines import line_reader, messages
from gaproute.interface import InstanceStatus, Result


def reply(**fields):
    fields = {"type": "served", "req": "a", "data": ""} | fields
    return line_reader.LineReader().feed(json.dumps(fields).encode() + b"\n")[0]


@pytest.mark.parametrize("cut", range(1, 50, 7))
def test_lines_are_read_however_the_bytes_are_split(cut):
    data = b'{"type":"served","req":"a"}\n{"type":"green","req":7}\n'
    reader = line_reader.LineReader()
    got = [each for at in range(0, len(data), cut) for each in reader.feed(data[at : at + cut])]
    assert [(each.type, each.req) for each in got] == [("served", "a"), ("green", 7)]


@pytest.mark.parametrize(
    "data",
    [
        b"noise\n",
        b"[1]\n",
        b'{"type":"served"}\n',
        b"\n",
        b"\xff\xfe\n",
        b"x" * (line_reader.MAX_LINE_BYTES + 1),
        b"[" * 5000 + b"\n",
    ],
)
def test_a_spoilt_or_endless_line_ends_the_connection_and_what_came_before_counts(data):
    with pytest.raises(line_reader.MalformedLineError) as wrong:
        line_reader.LineReader().feed(b'{"type":"red","req":"a"}\n' + data)
    assert [each.type for each in wrong.value.replies] == ["red"]


@given(st.lists(st.binary(max_size=100), max_size=20))
def test_arbitrary_bytes_raise_nothing_else(pieces):
    reader = line_reader.LineReader(300)
    try:
        for piece in pieces:
            for each in reader.feed(piece):
                (
                    messages.decode_attempt(each, with_count=True),
                    messages.decode_health(each),
                    messages.decode_load_order(each),
                )
            assert reader.unfinished_bytes <= 300
    except line_reader.MalformedLineError:
        pass


@pytest.mark.parametrize(
    ("kind", "result"),
    [
        ("served", Result.OK),
        ("not_here", Result.NOT_LOADED),
        ("overload", Result.FULL),
        ("crashed", Result.ERROR),
        ("nobody", Result.NOT_SENT),
    ],
)
def test_what_an_answer_proves(kind, result):
    assert messages.decode_attempt(reply(type=kind), with_count=True).result is result


def test_notes_crowds_and_loads_reach_the_module_in_its_terms():
    heard = messages.decode_attempt(
        reply(meta={"tell": "j", "queue_fn": 3, "meter": "util:0.61;x0:0.2"}, data=""), with_count=True
    )
    assert (heard.found, heard.same_function_requests) == (InstanceStatus.AWAITED_LOAD, 3)
    assert (heard.report.cpu_busy, heard.report.memory_busy, heard.report.in_hand) == (0.61, 0.2, None)
    assert messages.decode_attempt(reply(), with_count=True).same_function_requests == 0
    assert messages.decode_attempt(reply(), with_count=False).same_function_requests is None
    assert messages.decode_load_report({"meter": "util:lots;inflight:7"}).in_hand == 7
    assert messages.decode_load_report({"meter": "x"}) is None


@pytest.mark.parametrize("data", ["%%%", "ab", "\u00e9", None])
def test_a_body_that_is_missing_or_no_base64_ran_and_is_not_passed_on(data):
    assert messages.decode_attempt(reply(data=data), with_count=True) == (
        Result.ERROR,
        None,
        InstanceStatus.UNKNOWN,
        None,
        None,
    )
    assert messages.decode_attempt(reply(data=""), with_count=True).answer.body == b""
