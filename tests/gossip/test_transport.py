"""Gossip between gateways over sockets: it is off unless configured, and counts undecodable datagrams."""

import socket

import pytest
from helpers import CONFIGURATION

from gaproute.appliance.status import status
from gaproute.config import ConfigurationError, read_configuration
from gaproute.loop.addresses import parse_address
from gaproute.peers import datagram_pb2


def test_gateways_gossip_if_configured_and_count_undecodable_datagrams(fleet):
    rig, start = fleet
    second = start("second", f"peer g {rig.gate.peers.peer_server.address}\nweak-word yes")
    third = start("third", f"peer second {second.peers.peer_server.address}\nweak-word yes")
    rig.at = parse_address(third.fronts[0].address)
    for number in range(4):
        assert rig.wait(rig.ask("lamp", f"w{number}")).status == 200
    node = second.peers.gossip.node
    rig.until(lambda: "third" in node.table.received_sets and node.warm_instances(rig.loop.now(), "lamp"))
    ((host, (age, origins)),) = node.warm_instances(rig.loop.now(), "lamp").items()
    assert host in third.endpoints
    assert origins == ("third",)
    assert age >= 0
    assert rig.gate.peers.gossip is None
    assert status(rig.gate)["weak_word"] is None
    assert status(third)["weak_word"]["sent"]
    rig.until(lambda: node.demand(rig.loop.now(), "lamp", 0).received > 0)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, _, port = second.peers.peer_server.address.rpartition(":")
    for body in (b"x" * 900, b"", b"\x01" * 64):
        message = datagram_pb2.Word(version=1, kind=6, weak=body)
        message.sender.name = "third"
        sender.sendto(message.SerializeToString(), (host, int(port)))
    sender.sendto(b"\xff" * 1400, (host, int(port)))
    sender.close()
    rig.until(
        lambda: (
            node.table.rejections["nonsense"] == 3
            and second.peers.membership_transport.undecodable_datagrams == 1
        )
    )


def test_gossip_without_a_listen_address_for_peers_is_a_configuration_error():
    with pytest.raises(ConfigurationError, match="weak-word requires a listen peers line"):
        read_configuration("f", CONFIGURATION + "\nweak-word yes\n")
