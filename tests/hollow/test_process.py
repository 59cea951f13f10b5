"""Hollow gateways on real sockets, in a process of their own that obeys orders."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
PROCESS_CONFIG = """\
name hollow
listen peers 127.0.0.1:0
hosts-file {folder}/hosts.list look 100ms
peers-file {folder}/peers.list look 1s
weak-word yes
keepers keeper-1 longest 30s
track inference pure contract 1200ms limit 5s
model model-000 track inference lanes 4
"""


def wait_for(holds, seconds=15):
    end = time.monotonic() + seconds
    while not holds() and time.monotonic() < end:
        time.sleep(0.05)
    return holds()


def test_hollow_gateways_on_real_sockets_find_each_other_and_end_with_their_input(tmp_path):
    net = f"127.88.{os.getpid() & 255}"
    peers = "".join(f"peer g{number} {net}.{number + 1}:7461\n" for number in range(6))
    (tmp_path / "peers.list").write_text(peers)
    (tmp_path / "hosts.list").write_text("host h1 127.88.0.1:9001\nhost h2 127.88.0.2:9001\n")
    (tmp_path / "hollow.conf").write_text(PROCESS_CONFIG.format(folder=tmp_path))
    command = [
        sys.executable,
        "-m",
        "gaproute.hollow",
        tmp_path / "hollow.conf",
        "--first",
        "1",
        "--count",
        "4",
    ]
    process = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )

    def snapshot():
        process.stdin.write(b'{"snapshot": true}\n')
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    try:
        assert wait_for(lambda: snapshot()["totals"].get("demand.tellers", 0) == 4 * 3)
        status = snapshot()
        assert status["errors"] == 0, status["last_error"]
        assert status["gateways"] == 4
        assert status["least_up"] >= 4
        assert status["totals"]["hosts.entries"] == 4 * 4
        assert status["totals"]["membership.refused"] == status["totals"]["demand.refused"] == 0
        assert status["totals"]["leases.held"] == 0  # no Raft member is here
        process.stdin.write(b'{"changes": "g3"}\n')
        process.stdin.flush()
        status = json.loads(process.stdout.readline())
        assert {tuple(change[:2]) for change in status["changes"]} == {("g3", "alive")}
        process.stdin.write(b'{"kill": "g1"}\n')
        assert snapshot()["gateways"] == 3
        process.stdin.close()
        assert process.wait(10) == 0, process.stderr.read()
    finally:
        process.kill()
        process.wait()
