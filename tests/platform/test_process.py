"""The platform's process: its configuration, its reload and its end, and what it loads."""

import json
import os
import signal
import subprocess
import sys

import pytest
from scripted import MILLI

from gaproute.platform.configuration import ConfigurationRejectedError, read_configuration
from gaproute.standins.platform import ScriptedChangeLog, event, sse


def test_a_new_file_moves_the_log_and_a_bad_one_changes_nothing(gate):
    made = gate()
    made.until(lambda: made.log.came)
    other = ScriptedChangeLog(
        made.loop, lambda last: sse(event(2, ("s-0", made.hosts[0].address, "Terminating")))
    )
    made.path.write_text("{")
    made.process.reload()
    assert made.lines[-1][0] == "configuration_rejected"
    made.configuration["changelog"] = other.address
    made.write()
    made.process.reload()
    made.process.reload()
    made.until(lambda: not made.process.host_client.hosts["s-0"].active)
    assert other.came == [1]
    assert made.process.host_list.watcher.last_seq == 2
    other.close()


def test_a_stop_serves_on_for_a_while_then_ends_what_it_holds(gate, monkeypatch):
    monkeypatch.setattr("gaproute.platform.shutdown.ACCEPT_TIME", 60 * MILLI)
    held = []
    made = gate(lambda stream, command: held.append((stream, command)))
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    made.process.stop()
    late = made.client()
    late.ask(2)
    made.until(lambda: len(held) == 2)
    made.until(lambda: made.process.front.listener.sock.fileno() < 0)  # nobody new is accepted
    made.loop.running = True
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: client.answers and late.answers)
    assert "result" in client.answers[0]
    assert "result" in late.answers[0]
    client.ask(3)  # on a connection that is open
    made.until(lambda: made.came() == 3)
    made.hosts[0].serve(*[each for each in held if each[1]["type"] == "go"][2])
    made.until(lambda: len(client.answers) == 2)
    assert "result" in client.answers[1]
    assert made.loop.running
    for each in (client, late):
        each.stream.close()
    made.until(lambda: not made.loop.running)  # no connection is left


# As a process


def start(path, **environment):
    return subprocess.Popen(
        [sys.executable, "-m", "gaproute.platform"],
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(path)} | environment,
    )


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"changelog": 5}, "changelog"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"lanes": [{"effect": "odd"}]}}, "settings"),
        ({"known": {"seq": "x"}}, "known"),
        ({"settings": {}}, "settings"),
    ],
)
def test_a_wrong_configuration_is_refused_by_the_field(gate, change, named):
    made = gate()
    made.configuration.update(change)
    made.write()
    with pytest.raises(ConfigurationRejectedError, match=named):
        read_configuration(str(made.path))


def test_a_process_starts_from_its_environment_and_leaves_on_sigterm(gate):
    made = gate()
    process = start(made.path, EDGE_NAME="n7", EDGE_LISTEN="127.0.0.1:0")
    lines = [json.loads(process.stderr.readline()) for _ in range(2)]
    assert lines[-1]["event"] == "started"
    assert lines[-1]["name"] == "n7"
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stderr.close()


def test_a_missing_configuration_exits_2_with_one_line(tmp_path):
    process = start(tmp_path / "none")
    _, said = process.communicate(timeout=10)
    assert process.returncode == 2
    assert said.count(b"\n") == 1
    assert b"EDGE_CONFIG" in said


def test_the_process_loads_nothing_of_what_it_does_not_use():
    shut_out = {
        "pydantic",
        "rich",
        "click",
        "google.protobuf",
        "structlog",
        "asyncio",
        "xxhash",
        "gaproute.cli",
        "gaproute.config",
        "gaproute.peers",
        "gaproute.storage",
        "gaproute.appliance",
        "gaproute.load",
        "gaproute.fronts.kserve",
        "gaproute.http1",
        "gaproute.benchlink",
        "gaproute.decisions.cells",
        "gaproute.core.cellular",
        "gaproute.hosts.cell_hosts",
        "gaproute.hosts.entry_gateways",
        "gaproute.hosts.forwarding",
        "gaproute.hosts.kserve",
        "gaproute.hosts.orca",
    }
    code = "import sys, gaproute.platform.__main__; print(*sys.modules)"
    loaded = set(
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout.split()
    )
    assert not loaded & shut_out
