"""The platform's stand-in host on one loop, spoken to by lines; the file that a cluster harness writes for a
gateway."""

import json

import msgspec
import pytest
from helpers import ListTap, makers, turn_until

from gaproute.loop import Loop, Stream, connect
from gaproute.loop.addresses import parse_address
from gaproute.platform import configuration as platform_configuration
from gaproute.standins.kinds import KINDS
from gaproute.standins.model_server import HostProfile, HostSetup, ModelProfile
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.host import PlatformHost
from gaproute.standins.platform.host_answers import LoadReporting
from gaproute.standins.platform.host_list import VersionedHostList, member
from gaproute.standins.platform.hosts import PlatformHosts, SharedSetup
from gaproute.standins.tap import read_tap

MILLI, SECOND = 1_000_000, 1_000_000_000
ANY = "127.0.0.1:0"
MODEL = ModelProfile("000000000000000a", "p", 2, 2 * MILLI, 10 * MILLI)


class Bench:
    """A loop, a tap, and lines said to whoever started the stand-in."""

    def __init__(self):
        self.loop, self.said = Loop(), []
        self.tap = ListTap(self.loop.clock)
        self.came, self.closing = [], []

    def until(self, condition, within=5):
        turn_until(self.loop, condition, within)

    def rest(self, span):
        end = self.loop.now() + span
        self.until(lambda: self.loop.now() >= end)

    def seen(self, what, **fields):
        return [
            event
            for event in self.tap.events
            if event["what"] == what and all(event.get(key) == value for key, value in fields.items())
        ]

    # A host

    def host(self, *, warm=False, reporting=None):
        setup = HostSetup(profile=HostProfile("h"), models={MODEL.name: MODEL}, warm=warm)
        made = PlatformHost(self.loop, parse_address(ANY), setup, self.tap, reporting)
        self.closing.append(made.crash)
        return made

    def line(self, host):
        """A connection to the host: a call that sends commands. What comes back is in `came`."""
        streams = []

        def bytes_came(data):
            self.came += [json.loads(line) for line in data.splitlines()]

        connect(
            self.loop,
            parse_address(host.address),
            SECOND,
            lambda sock, error: streams.append(
                Stream(self.loop, sock, bytes_came, lambda error: self.came.append("ended"))
            ),
        )
        self.until(lambda: streams)
        self.closing.append(streams[0].abort)
        return lambda *commands: streams[0].write(
            b"".join(json.dumps(each).encode() + b"\n" for each in commands)
        )

    def close(self):
        for call in self.closing:
            call()
        self.loop.close()


@pytest.fixture
def bench():
    for make in makers(Bench):
        yield make()


def go(name, **meta):
    return {
        "type": "go",
        "req": name,
        "data": "",
        "meta": {"cls": "p", "item": MODEL.name, "limit": 900} | meta,
    }


def test_a_host_serves_reports_its_load_and_takes_orders(bench):
    host = bench.host(reporting=LoadReporting(("cpu_share", "inflight")))
    say = bench.line(host)
    say(
        {"type": "whose", "gateway": "g7"},
        go("t1"),
        {"type": "stat", "req": "s"},
        {"type": "stage", "req": "o", "meta": {"item": MODEL.name, "copies": 2}},
    )
    bench.until(lambda: len(bench.came) == 3)
    came = {each["req"]: each for each in bench.came}
    assert came["t1"]["type"] == "served"
    assert came["t1"]["meta"] == {"tell": "c", "queue_fn": 0}
    assert came["s"]["type"] == "green"
    assert came["s"]["meta"]["meter"] == "cpu_share:0;inflight:1"
    assert came["o"]["type"] == "served"
    assert came["o"]["meta"]["copies"] == 2
    assert bench.seen("order", gateway="g7", count=2)
    assert bench.seen("said", id="t1", status=200)


def test_a_host_that_drains_takes_no_order_and_an_unknown_function_is_not_here(bench):
    host = bench.host()
    host.command({"trouble": "drain"})
    bench.line(host)(
        {"type": "stage", "req": "o", "meta": {"item": MODEL.name, "copies": 1}}, go("t", item="f" * 16)
    )
    bench.until(lambda: len(bench.came) == 2)
    assert [each["type"] for each in bench.came] == ["overload", "not_here"]
    assert not bench.seen("task")
    assert bench.seen("said", status=404)


def test_a_cancelled_request_is_not_answered_and_its_id_may_come_again(bench):
    host = bench.host(warm=True)
    say = bench.line(host)
    host.command({"trouble": "slow", "factor": 20})
    host.command({"trouble": "heavy", "share": 1, "factor": 0.1})
    say(go("t"), {"type": "halt", "req": "t"})
    bench.until(lambda: bench.seen("halt"))
    host.command({"trouble": "heavy", "on": False})
    say(go("t"))  # ends after the first
    bench.until(lambda: len(bench.seen("ran")) == 2 and bench.came)
    bench.rest(20 * MILLI)
    assert [each["type"] for each in bench.came] == ["served"]


@pytest.mark.parametrize(
    "line", [{"type": "go", "req": "x"}, {"type": "huh"}, go("y", cls="q"), go("z", limit=0)]
)
def test_what_is_no_command_is_noted_and_ends_the_connection(bench, line):
    bench.line(bench.host())(line)
    bench.until(lambda: "ended" in bench.came)
    assert bench.seen("void")
    assert not bench.seen("task")


def test_a_host_that_vanishes_sends_nothing_and_one_that_crashes_resets(bench):
    host = bench.host(warm=True)
    say = bench.line(host)
    say(go("t1"))
    bench.until(lambda: bench.came)
    say(go("t2"))
    bench.until(lambda: bench.seen("task", id="t2"))
    host.command({"trouble": "vanish"})
    say(go("t3"))
    bench.until(lambda: bench.seen("ran", id="t2"))
    bench.rest(30 * MILLI)
    assert len(bench.came) == 1
    assert not bench.seen("task", id="t3")
    host.crash()
    bench.until(lambda: bench.came[-1] == "ended")


def crash_all(hosts):
    for host in list(hosts.hosts.values()):
        host.crash()


def test_hosts_of_one_process_die_and_start_again_at_their_address_with_a_new_tap(bench, tmp_path):
    said = bench.said
    line = {
        "models": [msgspec.to_builtins(MODEL)],
        "taps": str(tmp_path),
        "hosts": [{"listen": ANY, "warm": True, "make": {"name": name}} for name in "ab"],
    }
    decoded = KINDS["platform-host"].decode(json.dumps(line).encode())
    setup = SharedSetup(models=decoded.models, taps=decoded.taps)
    made = PlatformHosts(bench.loop, decoded.hosts, setup, said.append)
    bench.closing.append(lambda: crash_all(made))
    say = bench.line(made.hosts["b"])
    made.command({"hosts": ["b"], "trouble": "fail"})
    say(go("t1"))
    bench.until(lambda: bench.came)
    made.command({"host": "b", "do": "crash"})
    made.command({"host": "b", "do": "start"})
    bench.line(made.hosts["b"])(go("t2"))
    bench.until(lambda: len(bench.came) == 3)
    assert said[1] == {"host": "b", "address": said[0]["addresses"]["b"]}
    first, end, second = bench.came
    assert (first["type"], end, second["type"]) == ("crashed", "ended", "served")
    made.flush()
    taps = [read_tap(tmp_path / f"host-b.{run}.tap") for run in (1, 2)]
    assert [(tap[0]["what"], tap[0]["warm"]) for tap in taps] == [("up", True), ("up", False)]
    assert not made.hosts["a"].model_server.faults
    assert len(read_tap(tmp_path / "host-a.1.tap")) == 1


# A gateway's file


def test_the_file_that_is_made_is_one_that_a_gateway_takes(tmp_path):
    tracks = [
        RequestClassSettings("p"),
        RequestClassSettings("e", "effectful"),
        RequestClassSettings("r", "receipted", "rack"),
    ]
    listing = VersionedHostList()
    listing.change(member("h", "127.0.0.1:9", cell=3, up_since=5))
    profile = HostProfile("h", cold_share=0.5)
    rules = deployment_settings(tracks, gateways=40, profile=profile, limits={"send_cap": 3})
    configuration = GatewayConfiguration(
        name="g1",
        listen="127.0.0.1:1",
        change_log="127.0.0.1:2",
        known=listing.snapshot(),
        settings=rules,
        peer_listen="127.0.0.1:3",
        peers_all="127.0.0.1:4",
    )
    command, environment = configuration.write(tmp_path)
    made, routing_settings, deployment = platform_configuration.read_configuration(environment["EDGE_CONFIG"])
    assert command[-1] == "gaproute.platform"
    assert (made.name, made.peers_all) == ("g1", "127.0.0.1:4")
    assert (
        routing_settings.gateways,
        routing_settings.attempt_limit,
        routing_settings.warm_up_share,
        routing_settings.peers_allowed,
    ) == (
        40,
        3,
        0.5,
        True,
    )
    assert [track.idempotency.name for track in routing_settings.request_classes] == [
        "IDEMPOTENT",
        "NON_IDEMPOTENT",
        "IDEMPOTENT_WITH_KEY",
    ]
    assert deployment.class_names == ("p", "e", "r")
