"""Commands that query a running gateway: what they print, and their exit codes."""

import json

import pytest
from click.testing import CliRunner

from gaproute.cli import queries
from gaproute.cli.common import ExitCode
from gaproute.cli.main import main

AT_OPTION = ["--at", "unix:/gateway"]
STATUS = {
    "name": "g",
    "stopping": False,
    "ready": True,
    "up_ms": 12_345,
    "held": 3,
    "counts": {"taken": {"a": 5, "b": 2}, "delivered": {"a": 4}, "declined": {"b": 1}},
}
ANSWERS = {
    b"/status": STATUS,
    b"/hosts": [
        {
            "name": "h",
            "address": "1:2",
            "state": "active",
            "capacity": 4.0,
            "connections": 2,
            "relays": {"ok": 4, "full": 1},
        }
    ],
    b"/knows": [
        {"worker": "h", "function": "f", "age_ms": 1500, "by": "an answer", "tried": True},
        {"worker": "h", "function": "g", "age_ms": 100, "by": "p", "tried": False},
    ],
    b"/peers": [
        {"name": "p", "where": "x", "state": "alive", "since_ms": 5000, "heard_ms": 200, "learnt": None},
        {"name": "q", "state": None, "learnt": "told 3"},
    ],
}
PRINTED_ROWS = {  # by command: the cells of each row
    "status": [["a", "5", "4", "0", "0", "0"], ["b", "2", "0", "1", "0", "0"]],
    "hosts": [["h", "1:2", "active", "4", "2", "ok 4, full 1"]],
    "knows": [["h", "f", "1.5 s ago", "an answer"], ["h", "g", "0.1 s ago", "p, not yet tried"]],
    "peers": [["p", "x", "alive", "5 s", "0.2 s ago", "not asked"], ["q", "", "", "", "never", "told 3"]],
}


@pytest.fixture
def run(monkeypatch):
    """Returns a function that runs a command against `ANSWERS`, with changes of the status."""

    def run_command(*arguments, **changes):
        answers = ANSWERS | {b"/status": STATUS | changes}
        monkeypatch.setattr(queries, "ask", lambda address, path: answers[path])
        return CliRunner().invoke(main, [*arguments, *AT_OPTION])

    return run_command


def printed_rows(output):
    """The cells of each row of a printed table."""
    lines = [line for line in output.splitlines() if line.startswith("│")]
    return [[cell.strip() for cell in line.split("│")[1:-1]] for line in lines]


@pytest.mark.parametrize("command", PRINTED_ROWS)
def test_a_command_prints_a_row_for_each_object(run, command):
    result = run(command)
    assert result.exit_code == ExitCode.OK
    assert printed_rows(result.output) == PRINTED_ROWS[command]


@pytest.mark.parametrize("command", PRINTED_ROWS)
def test_the_json_option_prints_the_objects_of_the_gateway(run, command):
    assert json.loads(run(command, "--json").output) == ANSWERS[f"/{command}".encode()]


@pytest.mark.parametrize(
    ("changes", "first_line", "exit_code"),
    [
        ({}, "g: ready, up 12 s, 3 tasks held", ExitCode.OK),
        ({"ready": False}, "g: not ready: no active host, up 12 s, 3 tasks held", ExitCode.PROBLEM_FOUND),
        ({"ready": False, "stopping": True}, "g: stopping, up 12 s, 3 tasks held", ExitCode.PROBLEM_FOUND),
    ],
)
def test_status_shows_whether_the_gateway_is_ready(run, changes, first_line, exit_code):
    result = run("status", **changes)
    assert result.output.splitlines()[0] == first_line
    assert result.exit_code == exit_code


def test_a_command_fails_if_no_gateway_answers(tmp_path):
    result = CliRunner().invoke(main, ["hosts", "--at", f"unix:{tmp_path}/none"])
    assert result.exit_code == ExitCode.COMMAND_FAILED
    assert "no gateway answers at unix:" in result.output
