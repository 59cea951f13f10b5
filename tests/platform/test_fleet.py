"""The platform's gateway among many hosts and peers, on loopback."""

import time

from scripted import SETTINGS

from gaproute.discovery.changelog import events
from gaproute.loop.datagrams import DatagramSocket
from gaproute.standins.platform import event


def test_gateways_tell_each_other_the_loads_that_they_probed(gate):
    """By datagrams from and to the addresses of the configuration; one that cannot be used is passed over."""
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    made = gate(settings=settings, peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    heard = []
    other = DatagramSocket(made.loop, "127.0.0.1:0", heard.append)
    where = "127.0.0.1:%d"
    made.process.configuration.peers_all = where % other.sock.getsockname()[1]
    made.client().ask(1)
    made.until(lambda: heard)
    worker = made.process.core.gateway.hosts_by_id["s-0"]
    at = worker.reported_at
    other.send(b"noise", where % made.process.peers.datagrams.sock.getsockname()[1])
    other.send(heard[0], where % made.process.peers.datagrams.sock.getsockname()[1])
    made.until(lambda: worker.reported_at > at)
    assert heard[0][2:] == bytes([64, 128])
    other.close()


def test_an_address_for_peers_that_cannot_be_had_is_no_reason_not_to_start(gate):
    settings = SETTINGS | {"balancers": 2, "limits": SETTINGS["limits"] | {"peers": True}}
    made = gate(settings=settings, peer_listen="192.0.2.1:1", peers_all="127.0.0.1:9")
    assert made.process.peers.datagrams is None
    assert any(what == "peer_socket_unavailable" for what, _ in made.lines)
    made.client().ask(1)
    made.until(lambda: made.clients[0].answers)


def test_1024_hosts_and_peers_start_and_a_list_of_that_size_is_taken_in_time(gate):
    """No list is capped; what a whole new list costs is far below the time of a task."""
    rows = [(f"h-{number}", f"127.0.{number // 250}.{number % 250 + 1}:9", "Ready") for number in range(1024)]
    made = gate(peers=[f"127.1.{number // 250}.{number % 250 + 1}:7946" for number in range(1024)])
    began = time.process_time()
    for number in range(2, 12):
        _, (change,) = events.decode_initial(
            {"seq": number, "results": [event(number, *rows, complete=True)]}
        )
        made.process.host_list.apply(change)
    took = (time.process_time() - began) / 10
    assert len(made.process.core.gateway.active_hosts) == 1024
    assert took < 0.2
