"""Lines from hosts: how they are read from bytes and decoded into attempt results and load reports."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.hosts.jsonlines import line_reader, messages
from gaproute.interface import InstanceStatus, Result


def make_reply(**fields):
    fields = {"type": "served", "req": "a", "data": ""} | fields
    return line_reader.LineReader().feed(json.dumps(fields).encode() + b"\n")[0]


@pytest.mark.parametrize("chunk_size", range(1, 50, 7))
def test_lines_are_read_however_the_bytes_are_split(chunk_size):
    data = b'{"type":"served","req":"a"}\n{"type":"green","req":7}\n'
    reader = line_reader.LineReader()
    replies = [
        reply
        for start in range(0, len(data), chunk_size)
        for reply in reader.feed(data[start : start + chunk_size])
    ]
    assert [(reply.type, reply.req) for reply in replies] == [("served", "a"), ("green", 7)]


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
def test_malformed_or_too_long_line_raises_an_error_with_the_replies_before_it(data):
    with pytest.raises(line_reader.MalformedLineError) as raised:
        line_reader.LineReader().feed(b'{"type":"red","req":"a"}\n' + data)
    assert [reply.type for reply in raised.value.replies] == ["red"]


@given(st.lists(st.binary(max_size=100), max_size=20))
def test_arbitrary_bytes_raise_only_malformed_line_errors(chunks):
    reader = line_reader.LineReader(300)
    try:
        for chunk in chunks:
            for reply in reader.feed(chunk):
                (
                    messages.decode_attempt_reply(reply, same_function_counted=True),
                    messages.decode_probe_reply(reply),
                    messages.decode_load_order_reply(reply),
                )
            assert reader.unfinished_bytes <= 300
    except line_reader.MalformedLineError:
        pass


@pytest.mark.parametrize(
    ("reply_type", "result"),
    [
        ("served", Result.OK),
        ("not_here", Result.NOT_LOADED),
        ("overload", Result.FULL),
        ("crashed", Result.ERROR),
        ("nobody", Result.NOT_SENT),
    ],
)
def test_reply_type_determines_the_result(reply_type, result):
    assert (
        messages.decode_attempt_reply(make_reply(type=reply_type), same_function_counted=True).result
        is result
    )


def test_found_instance_same_function_requests_and_load_report_are_decoded():
    attempt_result = messages.decode_attempt_reply(
        make_reply(meta={"tell": "j", "queue_fn": 3, "meter": "util:0.61;x0:0.2"}, data=""),
        same_function_counted=True,
    )
    assert (attempt_result.found, attempt_result.same_function_requests) == (InstanceStatus.AWAITED_LOAD, 3)
    assert (
        attempt_result.report.cpu_busy,
        attempt_result.report.memory_busy,
        attempt_result.report.in_hand,
    ) == (0.61, 0.2, None)
    assert messages.decode_attempt_reply(make_reply(), same_function_counted=True).same_function_requests == 0
    assert (
        messages.decode_attempt_reply(make_reply(), same_function_counted=False).same_function_requests
        is None
    )
    assert messages.decode_load_report({"meter": "util:lots;inflight:7"}).in_hand == 7
    assert messages.decode_load_report({"meter": "x"}) is None


@pytest.mark.parametrize("data", ["%%%", "ab", "\u00e9", None])
def test_attempt_with_a_missing_or_malformed_body_is_an_error_without_answer(data):
    assert messages.decode_attempt_reply(make_reply(data=data), same_function_counted=True) == (
        Result.ERROR,
        None,
        InstanceStatus.UNKNOWN,
        None,
        None,
    )
    assert messages.decode_attempt_reply(make_reply(data=""), same_function_counted=True).answer.body == b""
