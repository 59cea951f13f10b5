"""Link emulators as processes, started as the harness does."""

import json
import socket
import subprocess
import sys

import pytest
from link_network import (
    address_of,
)

from gaproute.cluster.addresses import link_address, link_of_address


def start_emulator():
    return subprocess.Popen(
        [sys.executable, "-m", "gaproute.cluster.links"],
        stdin=subprocess.PIPE,
        text=True,
        stdout=subprocess.PIPE,
    )


BAD_LINES = ("{", '{"fault": "x", "off": true}', "[]", '{"a": 1}')
CONNECTIONS = 24


@pytest.fixture
def emulators():
    """Two emulators, which are ended after the test."""
    started = [start_emulator(), start_emulator()]
    yield started
    for emulator in started:
        emulator.kill()
        emulator.wait()
        emulator.stdout.close()


def send(emulator, line):
    print(line, file=emulator.stdin, flush=True)


def exchange_one_byte(host, port):
    """Through whichever emulator the kernel picks, to a host that sees who called."""
    with socket.create_connection((link_address(16, 17), port), timeout=5) as near:
        far, caller = host.accept()
        near.sendall(b"x")
        assert far.recv(9) == b"x"
        assert link_of_address(caller[0]) == (17, 16)
        far.close()
        assert near.recv(9) == b""


def opened_by(emulator):
    """How many connections it has opened; lines that are wrong change nothing."""
    for line in (*BAD_LINES, '{"say": true}'):
        send(emulator, line)
    *errors, counts = (json.loads(emulator.stdout.readline()) for _ in range(len(BAD_LINES) + 1))
    assert all("error" in answer for answer in errors)
    assert counts["breaches"] == []
    assert counts["late_most_ns"] > 0
    return counts["opened"]


def test_several_processes_share_the_ports_and_end_with_stdin(tmp_path, emulators):
    with socket.create_server(("127.0.0.1", 0)) as host, socket.socket() as free:
        free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        free.bind(("127.0.0.1", 0))  # keeps the port for those who share it
        port = free.getsockname()[1]
        slots = {"16": {"name": "g0"}, "17": {"name": "h0", "tcp": address_of(host)}}
        first = {"tcp": port, "udp": port, "tap": str(tmp_path / "tap"), "seats": slots}
        for emulator in emulators:
            send(emulator, json.dumps(first))
            assert json.loads(emulator.stdout.readline()) == {"ready": True}
        for _ in range(CONNECTIONS):
            exchange_one_byte(host, port)
        opened = [opened_by(emulator) for emulator in emulators]
        assert sum(opened) == CONNECTIONS
        assert all(opened), "the kernel shares them"
        for emulator in emulators:
            emulator.stdin.close()
            assert emulator.wait(10) == 0
    lines = [json.loads(line) for line in (tmp_path / "tap").read_text().splitlines()]
    assert sorted(line["what"] for line in lines) == ["ended"] * CONNECTIONS + ["opened"] * CONNECTIONS


def test_a_first_line_that_cannot_be_followed_ends_it():
    emulator = start_emulator()
    assert "error" in json.loads(emulator.communicate('{"tcp": 0}\n', timeout=20)[0])
    assert emulator.returncode == 2
