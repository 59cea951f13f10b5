"""The exact lines that an instance writes for its actions, and the fields of lines that it reads."""

import pytest
from helpers import ROUTING_SETTINGS

from gaproute import interface
from gaproute.benchlink.decoding import encode_milliseconds
from gaproute.benchlink.instance import Instance
from gaproute.benchlink.lines import LINE_TYPES, WireFormatError, split_line

MILLI = 1_000_000
REQUEST = interface.Request("r1", 0, 900 * MILLI, "app:f", 1, None, 0)


class ScriptedDecisions:
    """Decisions that yield the test's actions for each request."""

    def __init__(self, actions):
        self.actions = actions

    def serve(self, now, request):
        yield from (action for action in self.actions)  # a generator, as the driver sends values to it


def reply_to_actions(*actions):
    instance = Instance(lambda *_: ScriptedDecisions(actions), 1, ROUTING_SETTINGS, 0)
    instance.start_request(5 * MILLI, REQUEST)
    return instance.reply_lines


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (interface.Attempt("10.0.0.1:80"), "ATTEMPT r1 10.0.0.1:80 0"),
        (interface.Cancel(2), "RECALL r1 2"),
        (interface.LoadOrder("10.0.0.1:80", "app:f", 3), "HOLD_THERE 10.0.0.1:80 3 app:f"),
        (interface.Probe("10.0.0.1:80"), "SAMPLE 10.0.0.1:80"),
        (interface.PollHostList(), "LISTEN 1"),
        (interface.Reject(1_234_567), "BOUNCE r1 1.235"),
        (interface.Fail(), "LOSE r1"),
        (interface.Wait(7 * MILLI), "WAKE_AT 2.000 r1|1"),
        (interface.Wait(4 * MILLI), "WAKE_AT 0.000 r1|1"),
    ],
)
def test_each_action_is_written_as_one_line(action, line):
    assert reply_to_actions(action) == [line]


def test_a_payload_is_broadcast_in_hexadecimal():
    instance = Instance(lambda *_: ScriptedDecisions(()), 1, ROUTING_SETTINGS, 0)
    instance.broadcast(b"\x00\xffhi")
    assert instance.reply_lines == ["SAY all 00ff6869"]


def test_a_timer_of_a_wait_that_is_over_is_ignored():
    instance = Instance(
        lambda *_: ScriptedDecisions((interface.Wait(7 * MILLI), interface.Fail())), 1, ROUTING_SETTINGS, 0
    )
    instance.start_request(0, REQUEST)
    instance.timer_fired(7 * MILLI, "r1|0")
    assert instance.reply_lines == ["WAKE_AT 7.000 r1|1"]
    instance.timer_fired(7 * MILLI, "r1|1")
    assert instance.reply_lines == ["WAKE_AT 7.000 r1|1", "LOSE r1"]


def test_durations_are_rounded_up_to_microseconds():
    assert [encode_milliseconds(duration) for duration in (0, 1, 1_000, 1_001)] == [
        "0.000",
        "0.001",
        "0.001",
        "0.002",
    ]


def test_the_last_field_of_a_timer_line_may_contain_spaces():
    name, line = split_line("ALARM a tag|with blanks ")
    assert (name, line) == ("ALARM", LINE_TYPES["ALARM"]("a tag|with blanks "))


@pytest.mark.parametrize("text", ["GONE", "GONE a b", "CRASH_NOW x", "SYNC 1 2 3", "odd"])
def test_a_line_with_a_wrong_number_of_fields_is_rejected(text):
    with pytest.raises(WireFormatError):
        split_line(text)
