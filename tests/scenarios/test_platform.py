"""A short day of the platform by processes: gateways, hosts, change log, clients; a host drains mid-way."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from gaproute.judge import DayTerms, HostPlace, RequestClassTerms, ViolationKind, judge
from gaproute.judge.terms import DEADLINE_SLACK
from gaproute.scenarios.processes import DayProcess
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.host_list import VersionedHostList, member
from gaproute.standins.tap import Tap, read_tap

MILLI, SECOND = 1_000_000, 1_000_000_000
LENGTH = 3 * SECOND
DRAINED = "s-2"
DRAIN = 1.5  # seconds after the first task
TRACKS = [
    RequestClassSettings("fault-check", priority_weight=3.0),
    RequestClassSettings(
        "repair-order", "effectful", latency_objective=600 * MILLI, limit=4 * SECOND, priority_weight=3.0
    ),
]
KINDS = [
    {"name": "fault-check", "share": 0.8, "limit": 5 * SECOND, "pure": True},
    {"name": "repair-order", "share": 0.2, "limit": 4 * SECOND},
]
MODELS = [
    {
        "name": f"{number:016x}",
        "track": TRACKS[number % 2].name,
        "lanes": 4,
        "work": 40 * MILLI,
        "start": 100 * MILLI,
    }
    for number in range(1, 9)
]


class Day:
    def __init__(self, folder):
        self.folder, self.processes = folder, []
        self.tap = Tap(folder / "run.tap", time.monotonic_ns)

    def start_stand_in(self, kind, settings):
        process = DayProcess(
            [sys.executable, "-m", "gaproute.standins", kind], settings, self.folder / f"{kind}.err"
        )
        self.processes.append(process)
        return process, json.loads(process.child.stdout.readline())

    def gateway(self, place, changelog, known):
        name = f"g{place}"
        configuration = GatewayConfiguration(
            name=name,
            listen="127.0.0.2:0",
            change_log=changelog,
            known=known,
            settings=deployment_settings(TRACKS, gateways=2),
            seed=place + 1,
        )
        command, environment = configuration.write(self.folder)
        with open(self.folder / f"{name}.log", "wb") as log:
            child = subprocess.Popen(command, env=os.environ | environment, stderr=log)
        self.processes.append(child)
        end = time.monotonic() + 10
        while time.monotonic() < end:
            for line in (self.folder / f"{name}.log").read_bytes().split(b"\n")[:-1]:
                if json.loads(line)["event"] == "started":
                    self.tap.note("started", gateway=place, name=name)
                    return child, json.loads(line)["listen_address"]
            time.sleep(0.01)
        raise AssertionError(f"{name} did not start")

    def play(self):
        hosts, started = self.start_stand_in(
            "platform-host",
            {
                "models": MODELS,
                "taps": str(self.folder),
                "seed": 3,
                "hosts": [
                    {"listen": "127.0.0.2:0", "warm": True, "make": {"name": f"s-{number}", "copies": 12}}
                    for number in range(3)
                ],
            },
        )
        listing = VersionedHostList()
        whole = listing.change(*[member(name, where) for name, where in started["addresses"].items()])
        log, feeds = self.start_stand_in(
            "platform-log", {"gateways": ["127.0.0.2:0"] * 2, "tap": str(self.folder / "log.tap")}
        )
        log.send(whole)
        gateways = [
            self.gateway(place, where, listing.snapshot()) for place, where in enumerate(feeds["addresses"])
        ]
        clients, _ = self.start_stand_in(
            "platform-clients",
            {
                "gateways": [where for _, where in gateways],
                "models": MODELS,
                "kinds": KINDS,
                "seed": 5,
                "habits": {"rate": 150.0, "weights": [3.0, 1.0]},
                "length": LENGTH,
                "tap": str(self.folder / "clients.tap"),
            },
        )
        time.sleep(DRAIN)
        hosts.send({"host": DRAINED, "trouble": "drain"})
        log.send(listing.change(member(DRAINED, started["addresses"][DRAINED], "draining")))
        clients.child.wait(20)
        codes = []
        for child, _ in gateways:
            child.send_signal(signal.SIGTERM)
        for child, _ in gateways:
            codes.append(child.wait(10))
        for process in (hosts, log):
            process.child.stdin.close()
            process.child.wait(5)
        self.tap.flush()
        return codes

    def end(self):
        for process in self.processes:
            if isinstance(process, DayProcess):
                process.close()
            elif process.poll() is None:
                process.kill()
                process.wait()


@pytest.fixture(scope="module")
def day(tmp_path_factory):
    made = Day(tmp_path_factory.mktemp("platform"))
    try:
        made.codes = made.play()
    finally:
        made.end()
    made.hosts = {f"s-{number}": [read_tap(made.folder / f"host-s-{number}.1.tap")] for number in range(3)}
    made.clients = read_tap(made.folder / "clients.tap")
    made.notified = read_tap(made.folder / "log.tap")
    made.run = read_tap(made.folder / "run.tap") + made.notified
    return made


def terms():
    return DayTerms(
        request_classes={
            track.name: RequestClassTerms.from_track(track.effect, track.group, track.repeat_window)
            for track in TRACKS
        },
        places={f"s-{number}": HostPlace("hall-a", "rack-0") for number in range(3)},
    )


def test_the_day_is_served_without_a_broken_rule(day):
    ends = [event for event in day.clients if event["what"] in ("answer", "overdue", "left", "broken")]
    delivered = [event for event in ends if event.get("outcome") == "delivered"]
    assert judge(terms(), day.hosts, day.clients, day.run) == []
    assert len(ends) > 300
    assert len(delivered) > 0.95 * len(ends)
    assert day.codes == [0, 0]
    share = sum(event["gateway"] == 0 for event in ends) / len(ends)
    assert 0.65 < share < 0.85  # three to one, as their weights say


def test_hosts_note_the_deadlines_passed_to_them_and_a_longer_one_is_caught(day):
    name, host, place, event = next(
        (end["id"], host, place, event)
        for end in day.clients
        if end["what"] == "answer" and end["outcome"] == "delivered"
        for host, (events,) in day.hosts.items()
        for place, event in enumerate(events)
        if event["what"] == "task" and event["id"] == end["id"]
    )
    end = next(end for end in day.clients if end.get("id") == name)
    left = end["asked"] + end["patience"] - event["at"]
    assert 0 < event["limit"] <= left + DEADLINE_SLACK
    for more, found in ((0, []), (MILLI, [ViolationKind.DEADLINE_TOO_LONG])):
        forged = list(day.hosts[host][0])
        forged[place] = event | {"limit": left + DEADLINE_SLACK + more}
        judged = judge(terms(), day.hosts | {host: [forged]}, day.clients, day.run)
        assert [broken.kind for broken in judged] == found


def test_every_gateway_is_notified_of_the_drain_and_what_came_later_is_caught(day):
    notified = [event for event in day.notified if event["what"] == "told" and event["state"] == "draining"]
    assert sorted((event["gateway"], event["host"]) for event in notified) == [(0, DRAINED), (1, DRAINED)]
    late = [event for event in day.hosts[DRAINED][0] if event["what"] == "task"]
    assert len(late) > 20  # it worked until then
    forged = late[-1] | {"at": max(event["at"] for event in notified) + 2 * SECOND}
    hosts = day.hosts | {DRAINED: [day.hosts[DRAINED][0] + [forged]]}
    assert 3 in {broken.rule for broken in judge(terms(), hosts, day.clients, day.run)}
