"""The platform's gateway with many hosts and peers, on loopback."""

import time

from scripted import SETTINGS

from gaproute.discovery.changelog import events
from gaproute.loop.datagrams import DatagramSocket
from gaproute.standins.platform import event


def test_gateways_exchange_the_load_reports_that_their_probes_return(gate):
    """Datagrams go from and to the configured addresses; an invalid datagram is ignored."""
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    gateway = gate(settings=settings, peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    received = []
    peer = DatagramSocket(gateway.loop, "127.0.0.1:0", received.append)
    loopback = "127.0.0.1:%d"
    gateway.process.configuration.peers_all = loopback % peer.sock.getsockname()[1]
    gateway.client().ask(1)
    gateway.until(lambda: received)
    host = gateway.process.core.gateway.hosts_by_id["s-0"]
    reported_before = host.reported_at
    peer.send(b"noise", loopback % gateway.process.peer_reports.datagrams.sock.getsockname()[1])
    peer.send(received[0], loopback % gateway.process.peer_reports.datagrams.sock.getsockname()[1])
    gateway.until(lambda: host.reported_at > reported_before)
    assert received[0][2:] == bytes([64, 128])
    peer.close()


def test_a_gateway_starts_and_serves_although_its_peer_address_cannot_be_bound(gate):
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    gateway = gate(settings=settings, peer_listen="192.0.2.1:1", peers_all="127.0.0.1:9")
    assert gateway.process.peer_reports.datagrams is None
    assert any(event_name == "peer_socket_unavailable" for event_name, _ in gateway.lines)
    gateway.client().ask(1)
    gateway.until(lambda: gateway.clients[0].answers)


def test_a_complete_list_of_1024_hosts_is_applied_in_less_than_200_ms(gate):
    """The length of a list is not limited, and applying a list takes far less time than a request."""
    members = [
        (f"h-{number}", f"127.0.{number // 250}.{number % 250 + 1}:9", "Ready") for number in range(1024)
    ]
    gateway = gate(peers=[f"127.1.{number // 250}.{number % 250 + 1}:7946" for number in range(1024)])
    started_at = time.process_time()
    for number in range(2, 12):
        _, (change,) = events.decode_initial_events(
            {"seq": number, "results": [event(number, *members, complete=True)]}
        )
        gateway.process.host_list.apply(change)
    cpu_time = (time.process_time() - started_at) / 10
    assert len(gateway.process.core.gateway.active_hosts) == 1024
    assert cpu_time < 0.2
