"""The bench adapter: replies to batches, malformed lines, errors of decisions, order of events."""

import io

import pytest

from gaproute import interface
from gaproute.benchlink.__main__ import main
from gaproute.benchlink.batch_dispatcher import BatchDispatcher

OPEN_LINE = (
    'OPEN_INSTANCE 5 {"lanes": [{"aim": 1000.0, "deadline": 4000.0, "effect": "free", "new": 1}], '
    '"limits": {"send_cap": 4, "cancel": true}, "unheard": {}}'
)
LIST_LINES = "LIST 0 1\nM 10.0.0.1:80 0 0 0 active - -\nTARGETS 1 remembered 0"
REQUEST_LINE = "CALL r1 - 900.0 - app:f - - - - 0"


def run_adapter(text):
    output_stream = io.StringIO()
    return main(io.StringIO(text), output_stream), output_stream.getvalue()


def test_a_request_is_sent_and_late_events_are_ignored():
    code, output = run_adapter(
        f"SYNC 1.5 1\nFOR 2\n{OPEN_LINE}\n{LIST_LINES}\n{REQUEST_LINE}\nOVER_TO_YOU\n"
        "SYNC 9 2\nFOR 2\nREPLY r1 0 10.0.0.1:80 0 7.5 1 9 odd:1,x0:-\nGONE r1\nREPLY r9 0 h 77 - - - -\n"
        "TARGETS 2 refused -\nOVER_TO_YOU\n"
    )
    assert code == 0
    assert "ATTEMPT r1 10.0.0.1:80 0" in output
    assert output.endswith("NEXT 2\n")
    assert output.startswith("SOURCE 2\n")
    assert "BOUNCE" not in output


def test_a_list_number_defined_again_in_a_batch_applies_to_the_lines_after_it():
    _, output = run_adapter(
        f"SYNC 1 1\nFOR 1\n{OPEN_LINE}\n{LIST_LINES}\n{REQUEST_LINE}\nLIST 0 0\nTARGETS 2 all 0\n"
        f"{REQUEST_LINE.replace('r1', 'r2')}\nOVER_TO_YOU\n"
    )
    assert "ATTEMPT r1" in output
    assert "ATTEMPT r2" not in output


@pytest.mark.parametrize(
    "line",
    ["NONSENSE 1", "SYNC 1", "FOR x", "FOR 1\nCALL r1", "M 1 2 3 4 active 1 -", "FOR 1\nOPEN_INSTANCE 1 {"],
)
def test_a_malformed_line_stops_the_adapter(line, capsys):
    code, output = run_adapter(f"SYNC 1 1\n{line}\n")
    assert code == 2
    assert output == ""
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize(
    "line",
    [
        REQUEST_LINE.replace("900.0", "soon"),
        "REPLY r1 x h 0 1 0 0 -",
        "REPLY r1 0 h 0 1 0 0 x0",
        'OPEN_INSTANCE 1 {"lanes": [{"effect": "odd"}]}',
    ],
)
def test_a_value_that_cannot_be_decoded_stops_the_adapter(line):
    code, output = run_adapter(f"SYNC 1 1\nFOR 1\n{OPEN_LINE}\n{LIST_LINES}\n{line}\nOVER_TO_YOU\n")
    assert code == 2
    assert output == ""


def test_an_error_of_the_decisions_is_reported_with_type_message_and_place():
    dispatcher = BatchDispatcher(gateway_factory=lambda *_: 1 / 0)
    output = [dispatcher.handle_line(line) for line in ("SYNC 1 1", "FOR 3", OPEN_LINE, "OVER_TO_YOU")][-1]
    assert output[0] == "SOURCE 3"
    assert output[1].startswith("INTERNAL_ERROR ZeroDivisionError: division by zero at ")


class RecordingDecisions:
    """Decisions that record their events in order."""

    def __init__(self, *_):
        self.steps = []

    def serve(self, now, request):
        yield interface.Attempt("h")
        while True:
            _, outcome = yield interface.Wait(now + 1)
            self.steps.append("wait elapsed" if outcome is None else "outcome received")

    def attempt_ended(self, now, outcome):
        self.steps.append("accounted for")


def test_outcomes_are_handled_before_timers_of_the_same_batch():
    """After a stall, a batch may have both an outcome and an earlier timer of a wait."""
    dispatcher = BatchDispatcher(gateway_factory=RecordingDecisions)
    other_request = REQUEST_LINE.replace("r1", "r2")
    text = (
        f"SYNC 1 1\nFOR 3\n{OPEN_LINE}\n{REQUEST_LINE}\n{other_request}\nOVER_TO_YOU\n"
        "SYNC 2000 2\nFOR 3\nALARM r2|2\nREPLY r1 0 h 0 7.5 1 0 -"
    )
    for line in text.split("\n"):
        dispatcher.handle_line(line)
    dispatcher.handle_line("OVER_TO_YOU")
    assert dispatcher.instances[3].gateway.steps == ["accounted for", "outcome received", "wait elapsed"]


def test_timers_of_a_killed_instance_do_not_fire_at_its_successor():
    dispatcher = BatchDispatcher(gateway_factory=RecordingDecisions)
    text = (
        f"SYNC 1 1\nFOR 3\n{OPEN_LINE}\n{REQUEST_LINE}\nOVER_TO_YOU\nSYNC 9 2\nFOR 3\nALARM r1|1\nCRASH_NOW"
    )
    for line in text.split("\n"):
        dispatcher.handle_line(line)
    for line in f"{OPEN_LINE}\n{REQUEST_LINE}\nOVER_TO_YOU".split("\n"):
        dispatcher.handle_line(line)
    assert dispatcher.instances[3].gateway.steps == []
