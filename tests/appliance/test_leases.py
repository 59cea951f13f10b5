"""Leases in whole gateways: configuration lines, the operators' address, and members that fail."""

import json
import time

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.config import ConfigurationError, read_configuration
from gaproute.loop.addresses import parse_address
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.operator_requests import OperatorCommand, OperatorRequests

MAX_DURATION = 300  # ms, of a lease; short, as gateways first wait for that time


def mistakes(*lines):
    with pytest.raises(ConfigurationError) as raised:
        read_configuration("f", CONFIGURATION + "host h 127.0.0.1:9\n" + "\n".join(lines) + "\n")
    return [str(mistake) for mistake in raised.value.mistakes]


PEERS = ("listen peers 127.0.0.1:0", "peer h 127.0.0.1:1", "peer i 127.0.0.1:2")


@pytest.mark.parametrize(
    ("lines", "mistake"),
    [
        (
            (*PEERS, "keepers g,h,i"),
            "this gateway is a Raft member, but the keepers line names no votes file",
        ),
        ((*PEERS, "keepers h,i votes /tmp/v"), "a votes file at a gateway that is not a Raft member"),
        ((*PEERS, "keepers g,h,k votes /tmp/v"), "Raft member k is not a peer of this gateway"),
        (("keepers g votes /tmp/v",), "keepers requires a listen peers line"),
        ((*PEERS, "keepers g,g votes /tmp/v"), "a Raft member is named twice"),
        ((*PEERS, "keepers g,h,i votes /tmp/v longest 2h"), "longest"),
    ],
)
def test_contradictory_lines_are_reported_as_mistakes(lines, mistake):
    assert any(mistake in text for text in mistakes(*lines)), mistakes(*lines)


class LeaseFleet:
    def __init__(self, steady_fleet, folder):
        (self.testbed, self.start), self.folder, self.gates = steady_fleet, folder, {}

    def start_gateway(self, name):
        lines = [
            f"listen peers unix:{self.folder}/{name}",
            "listen operator 127.0.0.1:0",
            f"keepers a,b,c longest {MAX_DURATION}ms"
            + (f" votes {self.folder}/{name}.votes" if name in "abc" else ""),
        ]
        lines += [f"peer {other} unix:{self.folder}/{other}" for other in "abcd" if other != name]
        self.gates[name] = self.start(name, *lines, listen=False)

    def stop_gateway(self, name):
        self.gates.pop(name).close()

    def command(self, name, **command):
        """(status, decoded answer) of a command at the operators' address of a gateway."""
        front = next(front for front in self.gates[name].fronts if type(front).__name__ == "OperatorFront")
        self.testbed.at = parse_address(front.address)
        answer = self.testbed.wait(self.testbed.ask(path="/permits", body=json.dumps(command).encode()))
        return answer.status, json.loads(answer.body)

    def request(self, name, number):
        return next(
            each for each in self.gates[name].peers.leases.table()["errands"] if each["errand"] == number
        )

    def leader(self):
        def leaders():
            return [name for name in "abc" if self.gates[name].peers.leases.node_runner.node.is_leader]

        self.testbed.until(leaders)
        return leaders()[0]

    def acquire(self, name, resource, for_ms=20_000):
        """Requests a lease of the resource until one is held; returns its row in the lease table."""

        def request_lease():
            number = self.command(name, take=resource, span_ms=MAX_DURATION, for_ms=for_ms)[1]["errand"]
            self.testbed.until(lambda: self.request(name, number)["state"] != "asked")
            return self.request(name, number)

        request = request_lease()
        while request["state"] == "refused":
            request = request_lease()
        return request


@pytest.fixture
def lease_fleet(steady_fleet, tmp_path):
    lease_fleet = LeaseFleet(steady_fleet, tmp_path)
    for name in "abcd":
        lease_fleet.start_gateway(name)
    return lease_fleet


def test_a_lease_excludes_other_requesters_until_it_is_released(lease_fleet):
    # The machine stalls; the clock of the gateways stands still meanwhile
    for after in range(0, MAX_DURATION, 50):
        lease_fleet.testbed.loop.call_later(after * MILLI, time.sleep, 1.2 * MAX_DURATION / 1000)
    lease = lease_fleet.acquire("d", "out h0", for_ms=5000)
    time.sleep(2 * MAX_DURATION / 1000)
    assert lease["state"] == "held"
    assert lease["fence"] > 0
    number = lease_fleet.command("a", take="out h0", span_ms=MAX_DURATION)[1]["errand"]
    lease_fleet.testbed.until(lambda: lease_fleet.request("a", number)["state"] != "asked")
    assert (lease_fleet.request("a", number)["state"], lease_fleet.request("a", number)["why"]) == (
        "refused",
        "taken",
    )
    assert lease_fleet.command("d", give=lease["errand"])[1]["state"] == "given"
    assert lease_fleet.acquire("a", "out h0")["fence"] > lease["fence"]


def test_a_lease_outlives_its_leader_and_expires_without_an_extension(lease_fleet):
    lease = lease_fleet.acquire("d", "out h1", for_ms=5000)
    leader = lease_fleet.leader()
    lease_fleet.stop_gateway(leader)
    lease_fleet.command("d", keep=lease["errand"], for_ms=6000)
    lease_fleet.testbed.until(lambda: lease_fleet.request("d", lease["errand"])["state"] != "held")
    lease_fleet.start_gateway(leader)
    other = next(name for name in "abc" if name != leader)
    assert lease_fleet.acquire(other, "out h1")["fence"] > lease["fence"]


def test_without_a_quorum_no_lease_is_granted_and_client_requests_are_served(lease_fleet):
    lease_fleet.acquire("d", "out h2")
    lease_fleet.stop_gateway("a")
    lease_fleet.stop_gateway("b")
    number = lease_fleet.command("d", take="out h3", span_ms=MAX_DURATION)[1]["errand"]
    lease_fleet.testbed.at = parse_address(lease_fleet.gates["d"].fronts[0].address)
    assert lease_fleet.testbed.wait(lease_fleet.testbed.ask("lamp", "w1")).status == 200
    lease_fleet.testbed.rest(2 * MAX_DURATION * MILLI)
    assert lease_fleet.request("d", number)["state"] in ("asked", "given")
    assert not lease_fleet.request("d", number)["fence"]


def test_a_restarted_gateway_does_not_reuse_a_request_number(lease_fleet):
    before = lease_fleet.acquire("d", "out h4")
    lease_fleet.stop_gateway("d")
    lease_fleet.start_gateway("d")
    after = lease_fleet.command("d", take="out h5", span_ms=MAX_DURATION)[1]
    assert abs(after["errand"] - before["errand"]) > 1
    assert lease_fleet.command("d", keep=before["errand"])[0] == 400


@pytest.mark.parametrize(
    ("command", "error"),
    [
        ({}, "one of take"),
        ({"take": "x", "give": 1}, "one of take"),
        ({"give": 9}, "no errand 9"),
        ({"take": "x", "span_ms": 10**9}, "are possible"),
        ({"take": "x" * 500, "span_ms": MAX_DURATION}, "length"),
        ({"take": "x", "amount": -1}, "take"),
        ({"wish": 1}, "unknown field"),
    ],
)
def test_an_invalid_command_is_rejected_with_its_error(lease_fleet, command, error):
    status, answer = lease_fleet.command("d", **command)
    assert status == 400
    assert error in answer["error"] or "Expected" in answer["error"]


def test_a_lease_request_without_an_extension_is_released_and_then_forgotten():
    class FixedRandomSource:
        def below(self, bound):
            return 0

    requests = OperatorRequests(LeaseClient("g", ["k"], FixedRandomSource(), 0))
    number = requests.execute(0, OperatorCommand(acquire="x", span_ms=1000))["errand"]
    requests.execute(900 * MILLI, OperatorCommand(extend=number))
    requests.tick(SECOND)
    assert requests.status(SECOND, number)["state"] == "asked"
    requests.tick(1900 * MILLI)
    assert requests.status(2 * SECOND, number)["state"] == "given"
    requests.tick(70 * SECOND)
    assert requests.requests == {}
    assert requests.due is None
