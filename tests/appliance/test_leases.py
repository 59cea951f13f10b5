"""Leases through whole gateways: the configuration's lines, the operators' address, members that die."""

import json
import time

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.config import ConfigurationError, read_configuration
from gaproute.loop.addresses import parse_address
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.operator_requests import OperatorCommand, OperatorRequests

MAX_DURATION = 300  # ms of a lease here, so that the initial wait is short


def mistakes(*lines):
    with pytest.raises(ConfigurationError) as wrong:
        read_configuration("f", CONFIGURATION + "host h 127.0.0.1:9\n" + "\n".join(lines) + "\n")
    return [str(mistake) for mistake in wrong.value.mistakes]


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
def test_lines_that_contradict_each_other_are_named(lines, mistake):
    assert any(mistake in text for text in mistakes(*lines)), mistakes(*lines)


class Site:
    def __init__(self, fleet, folder):
        (self.made, self.start), self.folder, self.gates = fleet, folder, {}

    def up(self, name):
        lines = [
            f"listen peers unix:{self.folder}/{name}",
            "listen operator 127.0.0.1:0",
            f"keepers a,b,c longest {MAX_DURATION}ms"
            + (f" votes {self.folder}/{name}.votes" if name in "abc" else ""),
        ]
        lines += [f"peer {other} unix:{self.folder}/{other}" for other in "abcd" if other != name]
        self.gates[name] = self.start(name, *lines, listen=False)

    def down(self, name):
        self.gates.pop(name).close()

    def ask(self, name, **command):
        """(status, answer) of one command at that gateway's operators' address."""
        front = next(front for front in self.gates[name].fronts if type(front).__name__ == "OperatorFront")
        self.made.at = parse_address(front.address)
        answer = self.made.wait(self.made.ask(path="/permits", body=json.dumps(command).encode()))
        return answer.status, json.loads(answer.body)

    def request(self, name, number):
        return next(
            each for each in self.gates[name].peers.leases.table()["errands"] if each["errand"] == number
        )

    def leader(self):
        def leaders():
            return [name for name in "abc" if self.gates[name].peers.leases.hosted_node.node.is_leader]

        self.made.until(leaders)
        return leaders()[0]

    def held(self, name, resource, for_ms=20_000):
        """Acquires it, again where it is rejected, until it is held."""

        def one():
            number = self.ask(name, take=resource, span_ms=MAX_DURATION, for_ms=for_ms)[1]["errand"]
            self.made.until(lambda: self.request(name, number)["state"] != "asked")
            return self.request(name, number)

        request = one()
        while request["state"] == "refused":
            request = one()
        return request


@pytest.fixture
def site(steady_fleet, tmp_path):
    made = Site(steady_fleet, tmp_path)
    for name in "abcd":
        made.up(name)
    return made


def test_a_crew_acquires_a_lease_that_nobody_else_gets_and_releases_it(site):
    for after in range(0, MAX_DURATION, 50):  # the machine stalls: to the gateways that is no time
        site.made.loop.call_later(after * MILLI, time.sleep, 1.2 * MAX_DURATION / 1000)
    one = site.held("d", "out h0", for_ms=5000)
    time.sleep(2 * MAX_DURATION / 1000)
    assert one["state"] == "held"
    assert one["fence"] > 0
    number = site.ask("a", take="out h0", span_ms=MAX_DURATION)[1]["errand"]
    site.made.until(lambda: site.request("a", number)["state"] != "asked")
    assert (site.request("a", number)["state"], site.request("a", number)["why"]) == ("refused", "taken")
    assert site.ask("d", give=one["errand"])[1]["state"] == "given"
    assert site.held("a", "out h0")["fence"] > one["fence"]


def test_a_lease_outlives_its_leader_and_ends_when_nobody_extends_it(site):
    one = site.held("d", "out h1", for_ms=5000)
    leader = site.leader()
    site.down(leader)
    site.ask("d", keep=one["errand"], for_ms=6000)
    site.made.until(lambda: site.request("d", one["errand"])["state"] != "held")
    site.up(leader)
    other = next(name for name in "abc" if name != leader)
    assert site.held(other, "out h1")["fence"] > one["fence"]


def test_no_lease_is_granted_without_a_majority_and_requests_are_served_all_the_same(site):
    site.held("d", "out h2")
    site.down("a")
    site.down("b")
    number = site.ask("d", take="out h3", span_ms=MAX_DURATION)[1]["errand"]
    site.made.at = parse_address(site.gates["d"].fronts[0].address)
    assert site.made.wait(site.made.ask("lamp", "w1")).status == 200
    site.made.rest(2 * MAX_DURATION * MILLI)
    assert site.request("d", number)["state"] in ("asked", "given")
    assert not site.request("d", number)["fence"]


def test_a_gateway_that_restarts_does_not_give_a_requests_number_again(site):
    before = site.held("d", "out h4")
    site.down("d")
    site.up("d")
    after = site.ask("d", take="out h5", span_ms=MAX_DURATION)[1]
    assert abs(after["errand"] - before["errand"]) > 1
    assert site.ask("d", keep=before["errand"])[0] == 400


@pytest.mark.parametrize(
    ("command", "why"),
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
def test_a_command_that_cannot_be_carried_out_is_rejected_by_name(site, command, why):
    status, answer = site.ask("d", **command)
    assert status == 400
    assert why in answer["error"] or "Expected" in answer["error"]


def test_a_request_that_nobody_extends_is_released_and_then_forgotten():
    class Once:
        def below(self, n):
            return 0

    requests = OperatorRequests(LeaseClient("g", ["k"], Once(), 0))
    number = requests.execute(0, OperatorCommand(acquire="x", span_ms=1000))["errand"]
    requests.execute(900 * MILLI, OperatorCommand(extend=number))
    requests.tick(SECOND)
    assert requests.status(SECOND, number)["state"] == "asked"
    requests.tick(1900 * MILLI)
    assert requests.status(2 * SECOND, number)["state"] == "given"
    requests.tick(70 * SECOND)
    assert requests.requests == {}
    assert requests.due is None
