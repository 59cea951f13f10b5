"""Which process has which slot, and by which addresses the processes of a cluster reach each other."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from gaproute.cluster.addresses import MIN_SLOT, link_address
from gaproute.cluster.links.slots import KIND_TERMS, ZONE_PREFIX, Slot, SlotKind
from gaproute.cluster.slot_sets import NamedSlot
from gaproute.errors import GaprouteError
from gaproute.scenarios.hosts import ListedState
from gaproute.scenarios.script_lines import DayLine

# The first slots of gateways, of hosts, and of the platform's change log, which has one for each gateway.
FIRST_GATEWAY, FIRST_HOST, FIRST_LIST = MIN_SLOT, MIN_SLOT + 1000, MIN_SLOT + 3000
FIRST_PORT, PORT_COUNT = 20000, 11000  # below those that the kernel gives out by itself (32768 on)
PORTS_PER_HARNESS = 4  # links, clients, peers, operators
GATEWAYS_PER_NET = 200  # in one 127.0.x.0/24


class NoFreePortsError(GaprouteError, OSError):
    """All ports that a harness may take are in use on this machine."""


class PlannedHost(Protocol):
    """A host of the day, as the plan needs it."""

    name: str
    number: int
    zone: str
    address: str
    state: str


class GatewayAddresses(NamedTuple):
    """The addresses on which a gateway listens."""

    clients: str
    peers: str


def free_port() -> int:
    """Finds four ports in a row that no process of this machine uses, and returns the first of them.

    Errors: `NoFreePortsError`.
    """
    begin = os.getpid() * PORTS_PER_HARNESS % PORT_COUNT
    for place in range(0, PORT_COUNT, PORTS_PER_HARNESS):
        port = FIRST_PORT + (begin + place) % PORT_COUNT // PORTS_PER_HARNESS * PORTS_PER_HARNESS
        if all(_is_free(each) for each in range(port, port + PORTS_PER_HARNESS)):
            return port
    raise NoFreePortsError(
        f"starting a harness: no {PORTS_PER_HARNESS} free ports in a row "
        f"from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT - 1}"
    )


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("0.0.0.0", port))
    except OSError:
        return False
    return True


class AddressPlan:
    """Addresses and slots of one day. `direct`: no link is emulated, processes use their own addresses."""

    def __init__(self, day: DayLine, *, direct: bool) -> None:
        self.day, self.direct, self.port = day, direct, free_port()
        self.change_log_addresses: list[str] = []  # by gateway, on the platform: where the log listens for it
        self.announce_callers = False  # whether a host learns who calls
        self._host_addresses: dict[tuple[int, int], str] = {}  # by gateway and host; lists name them often

    def zone(self, number: int) -> str:
        """The zone of a gateway."""
        return f"hall-{number % self.day.halls}"

    def gateway(self, number: int) -> GatewayAddresses:
        """A gateway's own addresses. Not in 127.0.0.x, from which all connect."""
        ip = f"127.0.{2 + number // GATEWAYS_PER_NET}.{1 + number % GATEWAYS_PER_NET}"
        return GatewayAddresses(f"{ip}:{self.port + 1}", f"{ip}:{self.port + 2}")

    def operator(self, number: int) -> str:
        """A gateway's operators' address."""
        ip = self.gateway(number).clients.rpartition(":")[0]
        return f"{ip}:{self.port + 3}"

    def peer_broadcast(self) -> str:
        """Where the platform's gateways send datagrams for all others; in no gateway's network."""
        return f"127.0.0.1:{self.port + 3}"

    def peer(self, number: int, other: int) -> str:
        """The address at which gateway `number` finds gateway `other`."""
        return self.gateway(other).peers if self.direct else self._link(number, FIRST_GATEWAY + other)

    def host(self, number: int, host: PlannedHost) -> str:
        """The address at which gateway `number` finds a host."""
        if self.direct:
            return host.address
        key = number, host.number
        address = self._host_addresses.get(key)
        if address is None:
            address = self._host_addresses[key] = self._link(number, FIRST_HOST + host.number)
        return address

    def change_log(self, number: int) -> str:
        """The address at which gateway `number` finds the platform's change log."""
        return self.change_log_addresses[number] if self.direct else self._link(number, FIRST_LIST + number)

    def _link(self, gateway: int, slot: int) -> str:
        return f"{link_address(FIRST_GATEWAY + gateway, slot)}:{self.port}"

    # Slots. Their zones are of gateways or of hosts, so that a term names either without a list.

    def all_slots(self, hosts: Iterable[PlannedHost]) -> dict[int, Slot]:
        """The slots of the gateways, of these hosts and of the change log, by number."""
        slots: dict[int, Slot] = {}
        for number in range(self.day.gateways):
            peers = self.gateway(number).peers
            zone = f"{SlotKind.GATEWAY}/{self.zone(number)}"
            slots[FIRST_GATEWAY + number] = Slot(f"g{number}", SlotKind.GATEWAY, zone, peers, peers)
        for host in hosts:
            slots |= self.host_slot(host)
        for number, address in enumerate(self.change_log_addresses):
            slots[FIRST_LIST + number] = Slot(f"l{number}", SlotKind.LIST, "", address)
        return slots

    def host_slot(self, host: PlannedHost, *, refuses: bool = False) -> Mapping[int, Slot]:
        """A host's slot by its number. `refuses`: its process is down."""
        slot = Slot(
            host.name,
            SlotKind.HOST,
            f"{SlotKind.HOST}/{host.zone}",
            stream_address=host.address,
            refuses=refuses,
            announce_caller=self.announce_callers,
        )
        return {FIRST_HOST + host.number: slot}

    def link_terms(self, name: str, slots: Iterable[NamedSlot]) -> list[str]:
        """The link emulators' terms for what a term of the script names.

        They also cover slots that are added later.
        """
        base, _, zone = name.replace(ZONE_PREFIX, "zone/").partition("/")
        if not zone:
            return [name]
        kinds = [KIND_TERMS[base]] if base in KIND_TERMS else [SlotKind.GATEWAY, SlotKind.HOST]
        there = {(slot.kind, slot.zone) for slot in slots}
        return [f"{ZONE_PREFIX}{kind}/{zone}" for kind in kinds if (kind, zone) in there]

    def named_slots(self, hosts: Iterable[PlannedHost]) -> list[NamedSlot]:
        """All gateways, the hosts that there are now, and the change log, for a script's sets."""
        gateways = range(self.day.gateways)
        named = [NamedSlot(f"g{number}", SlotKind.GATEWAY, self.zone(number)) for number in gateways]
        named += [
            NamedSlot(host.name, SlotKind.HOST, host.zone)
            for host in hosts
            if host.state != ListedState.ABSENT
        ]
        lists = range(len(self.change_log_addresses))
        return named + [NamedSlot(f"l{number}", SlotKind.LIST, "") for number in lists]
