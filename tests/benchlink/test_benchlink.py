import io

import pytest

from gaproute import interface as face
from gaproute.benchlink.__main__ import main
from gaproute.benchlink.batch_dispatcher import BatchDispatcher

OPEN = (
    'OPEN_INSTANCE 5 {"lanes": [{"aim": 1000.0, "deadline": 4000.0, "effect": "free", "new": 1}], '
    '"limits": {"send_cap": 4, "cancel": true}, "unheard": {}}'
)
LIST = "LIST 0 1\nM 10.0.0.1:80 0 0 0 active - -\nTARGETS 1 remembered 0"
CALL = "CALL r1 - 900.0 - app:f - - - - 0"


def play(text):
    sink = io.StringIO()
    return main(io.StringIO(text), sink), sink.getvalue()


def test_a_request_is_sent_and_late_events_are_passed_over():
    code, said = play(
        f"SYNC 1.5 1\nFOR 2\n{OPEN}\n{LIST}\n{CALL}\nOVER_TO_YOU\n"
        "SYNC 9 2\nFOR 2\nREPLY r1 0 10.0.0.1:80 0 7.5 1 9 odd:1,x0:-\nGONE r1\nREPLY r9 0 h 77 - - - -\n"
        "TARGETS 2 refused -\nOVER_TO_YOU\n"
    )
    assert code == 0
    assert "ATTEMPT r1 10.0.0.1:80 0" in said
    assert said.endswith("NEXT 2\n")
    assert said.startswith("SOURCE 2\n")
    assert "BOUNCE" not in said


def test_a_list_number_used_again_in_a_batch_resolves_in_order():
    _, said = play(
        f"SYNC 1 1\nFOR 1\n{OPEN}\n{LIST}\n{CALL}\nLIST 0 0\nTARGETS 2 all 0\n"
        f"{CALL.replace('r1', 'r2')}\nOVER_TO_YOU\n"
    )
    assert "ATTEMPT r1" in said
    assert "ATTEMPT r2" not in said


@pytest.mark.parametrize(
    "line",
    ["NONSENSE 1", "SYNC 1", "FOR x", "FOR 1\nCALL r1", "M 1 2 3 4 active 1 -", "FOR 1\nOPEN_INSTANCE 1 {"],
)
def test_a_malformed_line_stops_the_adapter(line, capsys):
    code, said = play(f"SYNC 1 1\n{line}\n")
    assert code == 2
    assert said == ""
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize(
    "line",
    [
        CALL.replace("900.0", "soon"),
        "REPLY r1 x h 0 1 0 0 -",
        "REPLY r1 0 h 0 1 0 0 x0",
        'OPEN_INSTANCE 1 {"lanes": [{"effect": "odd"}]}',
    ],
)
def test_a_value_that_cannot_be_read_stops_the_adapter_too(line):
    code, said = play(f"SYNC 1 1\nFOR 1\n{OPEN}\n{LIST}\n{line}\nOVER_TO_YOU\n")
    assert code == 2
    assert said == ""


def test_an_error_of_the_decisions_is_reported_with_type_message_and_place():
    dispatcher = BatchDispatcher(gateway_factory=lambda *_: 1 / 0)
    said = [dispatcher.handle_line(line) for line in ("SYNC 1 1", "FOR 3", OPEN, "OVER_TO_YOU")][-1]
    assert said[0] == "SOURCE 3"
    assert said[1].startswith("INTERNAL_ERROR ZeroDivisionError: division by zero at ")


class Recorder:
    """Decisions that note their calls, in order."""

    def __init__(self, *_):
        self.steps = []

    def serve(self, now, request):
        yield face.Attempt("h")
        while True:
            _, outcome = yield face.Wait(now + 1)
            self.steps.append("wait elapsed" if outcome is None else "outcome seen")

    def attempt_ended(self, now, outcome):
        self.steps.append("accounted for")


def test_after_a_stall_what_came_in_is_accounted_for_before_any_wait_is_over():
    dispatcher = BatchDispatcher(gateway_factory=Recorder)
    other = CALL.replace("r1", "r2")
    late = "ALARM r2|2\nREPLY r1 0 h 0 7.5 1 0 -"
    for line in f"SYNC 1 1\nFOR 3\n{OPEN}\n{CALL}\n{other}\nOVER_TO_YOU\nSYNC 2000 2\nFOR 3\n{late}".split(
        "\n"
    ):
        dispatcher.handle_line(line)
    dispatcher.handle_line("OVER_TO_YOU")
    assert dispatcher.instances[3].gateway.steps == ["accounted for", "outcome seen", "wait elapsed"]


def test_timers_of_an_instance_that_was_killed_do_not_wake_its_successor():
    dispatcher = BatchDispatcher(gateway_factory=Recorder)
    for line in f"SYNC 1 1\nFOR 3\n{OPEN}\n{CALL}\nOVER_TO_YOU\nSYNC 9 2\nFOR 3\nALARM r1|1\nCRASH_NOW".split(
        "\n"
    ):
        dispatcher.handle_line(line)
    for line in f"{OPEN}\n{CALL}\nOVER_TO_YOU".split("\n"):
        dispatcher.handle_line(line)
    assert dispatcher.instances[3].gateway.steps == []
