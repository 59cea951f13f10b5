"""Several gateways under one parent: child restarts, rolling reloads that lose no request, and stops."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from itertools import pairwise
from pathlib import Path

import pytest
from helpers import CONFIGURATION, SECOND

from gaproute.cli.queries import ask
from gaproute.config import read_configuration
from gaproute.decisions.admission.restarts import (
    DELAY_JITTER_SHARE,
    FIRST_DELAY,
    HEALTHY_UPTIME,
    MAX_DELAY,
    MIN_START_INTERVAL,
    RestartBackoff,
)
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop.addresses import parse_address

BODY = b'{"id": "t", "inputs": []}'
INFER_REQUEST = (
    b"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: g\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)

# Restart backoff and process slots


def test_the_restart_delay_grows_with_early_deaths_and_is_short_after_a_healthy_run():
    backoff, now, delays = RestartBackoff(RandomGenerator(1)), 0, []
    for _ in range(12):
        restart_at = backoff.schedule_restart(now, 0, SECOND)
        delays.append(restart_at - now)
        now = restart_at
    assert delays[:6] == sorted(delays[:6])
    assert delays[0] >= 2 * FIRST_DELAY
    assert delays[-1] <= MAX_DELAY * (1 + DELAY_JITTER_SHARE)
    assert backoff.schedule_restart(now, 0, HEALTHY_UPTIME) - now <= max(
        MIN_START_INTERVAL, FIRST_DELAY * (1 + DELAY_JITTER_SHARE)
    )


def test_children_that_die_at_the_same_time_are_restarted_at_intervals():
    backoff = RestartBackoff(RandomGenerator(1))
    starts = sorted(backoff.schedule_restart(0, slot, HEALTHY_UPTIME) for slot in range(8))
    assert all(later - earlier >= MIN_START_INTERVAL for earlier, later in pairwise(starts))


def test_a_process_slot_has_its_own_name_and_addresses_and_the_other_slots_as_peers():
    text = (
        f"{CONFIGURATION}listen peers 127.0.0.1:8090\nlisten operator unix:/x/op\n"
        "memory /x/m\nhost a 127.0.0.1:1"
    )
    configuration = read_configuration("c", text)
    configuration.assign_process_slot(1, 2)
    assert configuration.name == "g-1"
    assert configuration.observation_file == "/x/m.1"
    assert configuration.listen_addresses == [
        ("kserve", "127.0.0.1:0"),
        ("peers", "127.0.0.1:8091"),
        ("operator", "unix:/x/op.1"),
    ]
    assert [(peer.name, peer.where) for peer in configuration.peers] == [
        ("g-0", "127.0.0.1:8090"),
        ("g-2", "127.0.0.1:8092"),
    ]


# Processes


class ParentWithChildren:
    def __init__(self, folder, testbed, count=2, more=""):
        self.file, self.log = folder / "g.conf", folder / "g.log"
        hosts = "\n".join(f"host {host.profile.name} {host.address} capacity 4" for host in testbed.hosts)
        self.text = f"{CONFIGURATION}{hosts}\nlisten operator unix:{folder}/op\n{more}"
        self.file.write_text(self.text)
        self.testbed, self.folder, self.count = testbed, folder, count
        command = [sys.executable, "-m", "gaproute", "serve", str(self.file), "--processes", str(count)]
        with open(self.log, "wb") as errors:
            self.process = subprocess.Popen(command, stderr=errors)
        self.until(lambda: self.events("started", count))
        where = self.events("parent_started")[0]["listen_addresses"][0]
        self.testbed.at = parse_address(where)

    def events(self, name, min_count=0):
        lines = [
            json.loads(line) for line in self.log.read_bytes().split(b"\n")[:-1] if line.startswith(b"{")
        ]
        events = [line for line in lines if line["event"] == name]
        return events if len(events) >= min_count else []

    def until(self, condition, within=30):
        self.testbed.until(condition, within)

    def children(self):
        return [
            int(pid)
            for pid in Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children").read_text().split()
        ]

    def ask(self, name):
        return self.testbed.ask("lamp", name)

    def accepted_count(self):
        """The number of client connections that the only child has accepted."""
        return ask(f"unix:{self.folder}/op.0", b"/status")["clients"]["connections"]

    def answers(self, *clients):
        """The bytes that each client receives until its connection is closed; raises an error for a reset."""
        received = {client: b"" for client in clients}
        open_clients = list(clients)

        def all_closed():
            for client in list(open_clients):
                try:
                    data = client.recv(65536, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    continue
                received[client] += data
                if not data:
                    open_clients.remove(client)
            return not open_clients

        self.until(all_closed)
        return list(received.values())

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.until(lambda: self.process.poll() is not None)


@pytest.fixture
def start_fleet(rig, tmp_path):
    fleets = []

    def start(*args, **options):
        fleets.append(ParentWithChildren(tmp_path, rig(hosts=2), *args, **options))
        return fleets[-1]

    yield start
    for fleet in fleets:
        fleet.stop()


def test_all_children_serve_one_address_and_stop_together(start_fleet):
    fleet = start_fleet(3)
    assert all(fleet.testbed.wait(fleet.ask(f"t{number}")).status == 200 for number in range(12))
    children = fleet.children()
    assert len(children) == 3
    names = {line["gateway"] for line in fleet.events("started")}
    assert names == {"g-0", "g-1", "g-2"}
    fleet.process.send_signal(signal.SIGTERM)
    fleet.until(lambda: fleet.process.poll() is not None)
    assert fleet.process.returncode == 0
    assert len(fleet.events("stopped")) == 3
    assert not any(os.path.exists(f"/proc/{pid}") for pid in children)


def test_a_killed_child_is_restarted_while_the_others_serve(start_fleet):
    fleet = start_fleet()
    os.kill(fleet.children()[0], signal.SIGKILL)
    answers = [fleet.ask(f"t{number}") for number in range(6)]
    assert sum(fleet.testbed.wait(answer).status == 200 for answer in answers) == 6
    fleet.until(lambda: fleet.events("started", 3))
    assert len(fleet.children()) == 2
    assert fleet.events("child_exited")[0]["exit_code"] == -signal.SIGKILL


def test_a_stalled_child_keeps_no_new_client_waiting(start_fleet):
    fleet = start_fleet()
    stopped_child = fleet.children()[0]
    os.kill(stopped_child, signal.SIGSTOP)
    try:
        started_at = time.monotonic()
        for number in range(8):
            assert fleet.testbed.wait(fleet.ask(f"t{number}"), 5).status == 200
        assert time.monotonic() - started_at < 5
    finally:
        os.kill(stopped_child, signal.SIGCONT)


def test_a_rolling_reload_replaces_all_children_and_loses_no_request(start_fleet):
    fleet = start_fleet()
    old_children = set(fleet.children())
    fleet.file.write_text(fleet.text.replace("model dim", "model moon track check lanes 4\nmodel dim"))
    fleet.process.send_signal(signal.SIGHUP)
    answers, number = [], 0
    while not fleet.events("rolling_reload_completed"):
        answers.append(fleet.testbed.wait(fleet.ask(f"t{number}")))
        number += 1
        assert number < 20_000
    assert number > 5
    assert {answer and answer.status for answer in answers} == {200}
    assert len(fleet.children()) == 2
    assert not old_children & set(fleet.children())
    for _ in range(6):
        assert fleet.testbed.wait(fleet.testbed.get("/v2/models/moon")).status == 200


def is_signal_pending(pid, number):
    """Whether the signal `number` is pending for a stopped process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigPnd:", "ShdPnd:"))]
    return any(mask >> (number - 1) & 1 for mask in masks)


def test_a_request_that_a_replaced_child_has_accepted_but_not_read_is_served(start_fleet):
    """SIGSTOP stops the old child before the request is sent; the child continues once SIGTERM is pending."""
    fleet = start_fleet(1)
    (old_child,) = fleet.children()
    with socket.create_connection(fleet.testbed.at[1]) as accepted:
        fleet.until(lambda: fleet.accepted_count() == 1)
        os.kill(old_child, signal.SIGSTOP)
        try:
            accepted.sendall(INFER_REQUEST)
            with socket.create_connection(fleet.testbed.at[1]) as queued:
                queued.sendall(INFER_REQUEST)
                fleet.process.send_signal(signal.SIGHUP)
                fleet.until(lambda: is_signal_pending(old_child, signal.SIGTERM))
                os.kill(old_child, signal.SIGCONT)
                received = fleet.answers(accepted, queued)
        finally:
            os.kill(old_child, signal.SIGCONT)
    assert [answer.split(b"\r\n")[0] for answer in received] == [b"HTTP/1.1 200 OK"] * 2
    fleet.until(lambda: fleet.events("rolling_reload_completed"))


def test_a_client_in_the_accept_queue_at_the_stop_of_all_children_is_served(start_fleet):
    fleet = start_fleet()
    children = fleet.children()
    for child in children:
        os.kill(child, signal.SIGSTOP)
    try:
        with socket.create_connection(fleet.testbed.at[1]) as queued:
            queued.sendall(INFER_REQUEST)
            fleet.process.send_signal(signal.SIGTERM)
            fleet.until(lambda: fleet.events("stopping"))
            fleet.testbed.rest(SECOND // 10)
            for child in children:
                os.kill(child, signal.SIGCONT)
            (received,) = fleet.answers(queued)
    finally:
        for child in children:
            os.kill(child, signal.SIGCONT)
    assert received.split(b"\r\n")[0] == b"HTTP/1.1 200 OK"


def test_an_invalid_configuration_changes_nothing(start_fleet):
    fleet = start_fleet()
    old_children = fleet.children()
    fleet.file.write_text("nonsense\n")
    fleet.process.send_signal(signal.SIGHUP)
    fleet.until(lambda: fleet.events("configuration_rejected"))
    assert fleet.children() == old_children
    assert fleet.testbed.wait(fleet.ask("t")).status == 200


def test_a_valid_configuration_with_which_no_child_starts_ends_the_rolling_reload(start_fleet):
    fleet = start_fleet()
    old_children = set(fleet.children())
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        # The address of the third slot, which the reload uses first, is taken
        fleet.file.write_text(fleet.text + f"listen peers 127.0.0.1:{port - 2}\n")
        fleet.process.send_signal(signal.SIGHUP)
        fleet.until(lambda: fleet.events("rolling_reload_abandoned"))
    assert set(fleet.children()) == old_children
    assert fleet.testbed.wait(fleet.ask("t")).status == 200


def test_children_end_when_their_parent_is_killed(start_fleet):
    fleet = start_fleet()
    children = fleet.children()
    fleet.process.kill()
    fleet.process.wait()
    fleet.until(lambda: not any(os.path.exists(f"/proc/{pid}/fd/0") for pid in children))
