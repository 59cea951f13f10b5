"""Who sits where: the numbers by which the wire tells gateways and hosts apart, and the addresses between
them."""

import os
import socket

from gaproute.cluster.addresses import LOWEST, between

# seats from which gateways, hosts and the platform's change log, a seat for each gateway, are counted
GATEWAYS, HOSTS, LISTS = LOWEST, LOWEST + 1000, LOWEST + 3000
LOWEST_PORT, PORTS = 20000, 11000  # below those that the kernel gives out by itself (32768 on)
APART = 4  # ports that one harness takes: wire, clients, peers, operators


def free_port():
    """The first of APART ports that nobody has anywhere on this machine, for streams and datagrams. Errors:
    OSError where none is left."""
    begin = os.getpid() * APART % PORTS
    for place in range(0, PORTS, APART):
        port = LOWEST_PORT + (begin + place) % PORTS // APART * APART
        try:
            for each in range(port, port + APART):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind(("0.0.0.0", each))
        except OSError:
            continue
        return port
    raise OSError("no free ports for a harness")


class AddressPlan:
    """`direct`: no wire, so that all use each other's own addresses."""

    def __init__(self, day, direct):
        self.day, self.direct, self.port = day, direct, free_port()
        self.ways = []  # where the change log listens for each gateway, on the platform
        self.whose = False  # whether the wire tells hosts who calls
        self.known = {}  # (gateway, host): address, as a list names it again and again

    def zone(self, number):
        return f"hall-{number % self.day.halls}"

    def gateway(self, number):
        """Its own addresses: for clients, for peers. Not in 127.0.0.x, from which all connect."""
        ip = f"127.0.{2 + number // 200}.{1 + number % 200}"
        return f"{ip}:{self.port + 1}", f"{ip}:{self.port + 2}"

    def operator(self, number):
        """Where a gateway's operators ask."""
        return f"{self.gateway(number)[0].rpartition(':')[0]}:{self.port + 3}"

    def everybody(self):
        """Where the platform's gateways send what all others are to hear; in no gateway's net."""
        return f"127.0.0.1:{self.port + 3}"

    def peer(self, number, other):
        """Where gateway `number` finds another."""
        return (
            self.gateway(other)[1]
            if self.direct
            else f"{between(GATEWAYS + number, GATEWAYS + other)}:{self.port}"
        )

    def host(self, number, seat):
        """Where gateway `number` finds a host."""
        if self.direct:
            return seat.address
        where = self.known.get((number, seat.number))
        if where is None:
            where = f"{between(GATEWAYS + number, HOSTS + seat.number)}:{self.port}"
            self.known[number, seat.number] = where
        return where

    def changelog(self, number):
        """Where gateway `number` finds the change log."""
        return (
            self.ways[number] if self.direct else f"{between(GATEWAYS + number, LISTS + number)}:{self.port}"
        )

    # What the wire is told: its zones are of gateways or of hosts, so that a word names either without a list

    def gateway_seat(self, number):
        where = self.gateway(number)[1]
        return str(GATEWAYS + number), {
            "name": f"g{number}",
            "kind": "gateway",
            "zone": f"gateway/{self.zone(number)}",
            "tcp": where,
            "udp": where,
        }

    def host_seat(self, seat):
        return str(HOSTS + seat.number), {
            "name": seat.name,
            "kind": "host",
            "zone": f"host/{seat.zone}",
            "tcp": seat.address,
            "udp": None,
            "whose": self.whose,
        }

    def list_seat(self, number):
        return str(LISTS + number), {
            "name": f"l{number}",
            "kind": "list",
            "zone": "",
            "tcp": self.ways[number],
            "udp": None,
        }

    def words(self, what, seats):
        """The wire's words for what a script's word names; seats of these words that come later are meant
        too."""
        base, _, zone = what.replace("zone:", "zone/").partition("/")
        if not zone:
            return [what]
        kinds = {"gateways": ["gateway"], "hosts": ["host"]}.get(base, ["gateway", "host"])
        there = {(kind, place) for _, kind, place in seats}
        return [f"zone:{kind}/{zone}" for kind in kinds if (kind, zone) in there]

    def all(self, seats):
        """[(name, kind, zone)] of all gateways and of the hosts that there are now, for a script's sets."""
        return (
            [(f"g{number}", "gateway", self.zone(number)) for number in range(self.day.gateways)]
            + [(seat.name, "host", seat.zone) for seat in seats if seat.state != "absent"]
            + [(f"l{number}", "list", "") for number in range(len(self.ways))]
        )
