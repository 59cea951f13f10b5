"""Link emulators as processes, started as the harness does."""

import json
import socket
import subprocess
import sys

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


def test_several_processes_share_the_ports_and_end_with_stdin(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as host, socket.socket() as free:
        free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        free.bind(("127.0.0.1", 0))  # keeps the port for those who share it
        first = {
            "tcp": free.getsockname()[1],
            "udp": free.getsockname()[1],
            "tap": str(tmp_path / "tap"),
            "seats": {"16": {"name": "g0"}, "17": {"name": "h0", "tcp": address_of(host)}},
        }
        emulators = [start_emulator(), start_emulator()]
        try:
            for emulator in emulators:
                print(json.dumps(first), file=emulator.stdin, flush=True)
                assert json.loads(emulator.stdout.readline()) == {"ready": True}
            for _ in range(24):
                with socket.create_connection((link_address(16, 17), first["tcp"]), timeout=5) as near:
                    far, caller = host.accept()
                    near.sendall(b"x")
                    assert far.recv(9) == b"x"
                    assert link_of_address(caller[0]) == (17, 16)
                    far.close()
                    assert near.recv(9) == b""
            opened = []
            for emulator in emulators:
                for line in ("{", '{"fault": "x", "off": true}', "[]", '{"a": 1}', '{"say": true}'):
                    print(line, file=emulator.stdin, flush=True)
                said = [json.loads(emulator.stdout.readline()) for _ in range(5)]
                assert all("error" in line for line in said[:4])
                assert said[4]["breaches"] == []
                assert said[4]["late_most_ns"] > 0
                opened.append(said[4]["opened"])
            assert sum(opened) == 24
            assert all(opened), "the kernel shares them"
            for emulator in emulators:
                emulator.stdin.close()
                assert emulator.wait(10) == 0
            lines = [json.loads(line) for line in (tmp_path / "tap").read_text().splitlines()]
            assert sorted(line["what"] for line in lines) == ["ended"] * 24 + ["opened"] * 24
        finally:
            for emulator in emulators:
                emulator.kill()
                emulator.wait()
                emulator.stdout.close()


def test_a_first_line_that_cannot_be_followed_ends_it():
    emulator = start_emulator()
    assert "error" in json.loads(emulator.communicate('{"tcp": 0}\n', timeout=20)[0])
    assert emulator.returncode == 2
