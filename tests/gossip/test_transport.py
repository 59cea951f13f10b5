"""The weak word between gateways on sockets: off unless configured, and noise on its way."""

import socket

from helpers import CONFIGURATION

from gaproute.appliance.status import status
from gaproute.config import ConfigurationError, read_configuration
from gaproute.loop.streams import address
from gaproute.peers import word_pb2


def test_gateways_with_the_word_tell_each_other_and_one_without_is_left_as_it_is(fleet):
    made, start = fleet
    second = start("second", f"peer g {made.gate.peer_services.observation_server.address}\nweak-word yes")
    third = start("third", f"peer second {second.peer_services.observation_server.address}\nweak-word yes")
    made.at = address(third.fronts[0].address)
    for number in range(4):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    weak = second.peer_services.gossip_carrier.weak
    made.until(lambda: "third" in weak.store.tellers and weak.warm(made.loop.now(), "lamp"))
    ((host, (age, by)),) = weak.warm(made.loop.now(), "lamp").items()
    assert host in third.rows and by == ("third",) and age >= 0
    assert made.gate.peer_services.gossip_carrier is None and status(made.gate)["weak_word"] is None
    assert status(third)["weak_word"]["sent"]
    made.until(lambda: weak.demand(made.loop.now(), "lamp", 0).heard > 0)
    kept = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, _, port = second.peer_services.observation_server.address.rpartition(":")
    for body in (b"x" * 900, b"", b"\x01" * 64):
        noise = word_pb2.Word(version=1, kind=6, weak=body)
        noise.sender.name = "third"
        kept.sendto(noise.SerializeToString(), (host, int(port)))
    kept.sendto(b"\xff" * 1400, (host, int(port)))
    kept.close()
    made.until(
        lambda: weak.refused["nonsense"] == 3 and second.peer_services.membership_transport.undecodable == 1
    )


def test_the_word_without_a_way_is_a_mistake():
    try:
        read_configuration("f", CONFIGURATION + "\nweak-word yes\n")
    except ConfigurationError as mistakes:
        assert "weak-word without a listen peers line" in str(mistakes)
    else:
        raise AssertionError("taken")
