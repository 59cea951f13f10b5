"""The platform's process: configuration, reload, shutdown, and which modules it imports."""

import json
import os
import signal
import subprocess
import sys

import pytest
from scripted import MILLI

from gaproute.platform.configuration import ConfigurationRejectedError, read_configuration
from gaproute.standins.platform import ScriptedChangeLog, event, sse


def test_a_reload_follows_a_new_change_log_address_and_an_invalid_file_changes_nothing(gate):
    gateway = gate()
    gateway.until(lambda: gateway.log.came)
    new_log = ScriptedChangeLog(
        gateway.loop, lambda last: sse(event(2, ("s-0", gateway.hosts[0].address, "Terminating")))
    )
    gateway.path.write_text("{")
    gateway.process.reload()
    assert gateway.lines[-1][0] == "configuration_rejected"
    gateway.configuration["changelog"] = new_log.address
    gateway.write()
    gateway.process.reload()
    gateway.process.reload()
    gateway.until(lambda: not gateway.process.host_client.hosts["s-0"].active)
    assert new_log.came == [1]
    assert gateway.process.host_list.watcher.last_seq == 2
    new_log.close()


def test_a_stopping_gateway_serves_open_connections_until_the_last_one_closes(gate, monkeypatch):
    monkeypatch.setattr("gaproute.platform.shutdown.ACCEPT_TIME", 60 * MILLI)
    held_commands = []
    gateway = gate(lambda stream, command: held_commands.append((stream, command)))
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: held_commands)
    gateway.process.stop()
    late = gateway.client()
    late.ask(2)
    gateway.until(lambda: len(held_commands) == 2)
    gateway.until(
        lambda: gateway.process.front.listener.sock.fileno() < 0
    )  # new connections are no longer accepted
    gateway.loop.running = True
    for stream, command in held_commands:
        gateway.hosts[0].serve(stream, command)
    gateway.until(lambda: client.answers and late.answers)
    assert "result" in client.answers[0]
    assert "result" in late.answers[0]
    client.ask(3)  # on an open connection
    gateway.until(lambda: gateway.came() == 3)
    gateway.hosts[0].serve(*[pair for pair in held_commands if pair[1]["type"] == "go"][2])
    gateway.until(lambda: len(client.answers) == 2)
    assert "result" in client.answers[1]
    assert gateway.loop.running
    for open_client in (client, late):
        open_client.stream.close()
    gateway.until(lambda: not gateway.loop.running)  # no connection is open


# As a process


def start_process(path, **environment):
    return subprocess.Popen(
        [sys.executable, "-m", "gaproute.platform"],
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(path)} | environment,
    )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"changelog": 5}, "changelog"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"lanes": [{"effect": "odd"}]}}, "settings"),
        ({"known": {"seq": "x"}}, "known"),
        ({"settings": {}}, "settings"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_name_of_the_field(gate, change, field):
    gateway = gate()
    gateway.configuration.update(change)
    gateway.write()
    with pytest.raises(ConfigurationRejectedError, match=field):
        read_configuration(str(gateway.path))


def test_a_process_starts_from_its_environment_and_exits_on_sigterm(gate):
    gateway = gate()
    process = start_process(gateway.path, EDGE_NAME="n7", EDGE_LISTEN="127.0.0.1:0")
    lines = [json.loads(process.stderr.readline()) for _ in range(2)]
    assert lines[-1]["event"] == "started"
    assert lines[-1]["name"] == "n7"
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stderr.close()


def test_a_missing_configuration_exits_with_2_and_one_line(tmp_path):
    process = start_process(tmp_path / "none")
    _, stderr = process.communicate(timeout=10)
    assert process.returncode == 2
    assert stderr.count(b"\n") == 1
    assert b"EDGE_CONFIG" in stderr


def test_the_process_imports_no_modules_that_it_does_not_use():
    unused_modules = {
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
    assert not loaded & unused_modules
