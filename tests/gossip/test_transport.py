"""Gossip between gateways on sockets: off unless configured, and noise on its way."""

import socket

import pytest
from helpers import CONFIGURATION

from gaproute.appliance.status import status
from gaproute.config import ConfigurationError, read_configuration
from gaproute.loop.addresses import parse_address
from gaproute.peers import word_pb2


def test_gateways_gossip_and_one_where_it_is_off_is_left_as_it_is(fleet):
    made, start = fleet
    second = start("second", f"peer g {made.gate.peers.peer_server.address}\nweak-word yes")
    third = start("third", f"peer second {second.peers.peer_server.address}\nweak-word yes")
    made.at = parse_address(third.fronts[0].address)
    for number in range(4):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    node = second.peers.gossip.node
    made.until(lambda: "third" in node.table.received and node.warm_instances(made.loop.now(), "lamp"))
    ((host, (age, by)),) = node.warm_instances(made.loop.now(), "lamp").items()
    assert host in third.rows
    assert by == ("third",)
    assert age >= 0
    assert made.gate.peers.gossip is None
    assert status(made.gate)["weak_word"] is None
    assert status(third)["weak_word"]["sent"]
    made.until(lambda: node.demand(made.loop.now(), "lamp", 0).received > 0)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, _, port = second.peers.peer_server.address.rpartition(":")
    for body in (b"x" * 900, b"", b"\x01" * 64):
        noise = word_pb2.Word(version=1, kind=6, weak=body)
        noise.sender.name = "third"
        sender.sendto(noise.SerializeToString(), (host, int(port)))
    sender.sendto(b"\xff" * 1400, (host, int(port)))
    sender.close()
    made.until(
        lambda: node.table.rejections["nonsense"] == 3 and second.peers.membership_transport.undecodable == 1
    )


def test_gossip_without_an_address_for_peers_is_a_mistake():
    with pytest.raises(ConfigurationError, match="weak-word requires a listen peers line"):
        read_configuration("f", CONFIGURATION + "\nweak-word yes\n")
