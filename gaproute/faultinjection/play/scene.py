"""A gateway of the platform and its far ends, connected, driven turn by turn on one clock, and closed."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from pathlib import Path

from gaproute.connections import AcceptedConnections
from gaproute.connections.parked import NOT_PARKED
from gaproute.errors import GaprouteError
from gaproute.faultinjection.network import NetworkFaults
from gaproute.faultinjection.plan import FaultPlan
from gaproute.faultinjection.play.far_client import FarClient
from gaproute.faultinjection.play.far_connection import JsonObject
from gaproute.faultinjection.play.far_host import FarHost
from gaproute.faultinjection.play.far_others import FarChangeLog, FarPeer
from gaproute.faultinjection.play.timeline import FarLoop, PlayClock, arrives_soon
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.loop import Loop
from gaproute.loop.addresses import SocketAddress, parse_address
from gaproute.platform.configuration import read_configuration
from gaproute.platform.log import Log
from gaproute.platform.process import GatewayProcess
from gaproute.standins.platform.deployment_settings import sample_settings
from gaproute.units import MICRO, MILLI, SECOND

EPOCH = 1_800_000_000 * SECOND  # by which the wall clock is ahead of the play's monotonic clock
HOSTS_AGE = 86_400 * SECOND  # longer than any step of the wall clock, so that the hosts are warm
TURN_TIME = 20 * MICRO  # which a turn with something to do takes
MAX_TURNS = 20_000  # of a play, which needs some 2,000; one that needs more is stuck
REPEAT_WINDOW = 700 * MILLI  # for which hosts know a request by its idempotency key
NO_LOG = -1  # a descriptor to which a log writes nothing

IDEMPOTENT, NON_IDEMPOTENT, KEYED = "fault-check", "repair-order", "plan"
REQUEST_CLASSES = (IDEMPOTENT, NON_IDEMPOTENT, KEYED)
SETTINGS: JsonObject = sample_settings(
    [
        {"name": IDEMPOTENT, "effect": "free", "aim": 500.0, "deadline": 3000.0, "worth": 3.0},
        {"name": NON_IDEMPOTENT, "effect": "single_shot", "aim": 500.0, "deadline": 3000.0},
        {
            "name": KEYED,
            "effect": "guarded",
            "group": "all",
            "dedup_window": REPEAT_WINDOW / MILLI,
            "aim": 500.0,
            "deadline": 3000.0,
        },
    ],
    peers=True,
) | {"balancers": 2}


class StuckError(GaprouteError):
    """A play has not ended within its turns."""


class Scene:
    """A gateway that is made but not started, its far ends, and their common clock.

    Faults are installed from the beginning, and the plan decides on the gateway's system calls: the start of
    the gateway may be played under faults or not. `errors`: those that escaped a callback or a turn of the
    gateway's loop.
    """

    def __init__(self, folder: Path, plan: FaultPlan, seed: int, hosts: int = 3) -> None:
        self.descriptors_before = open_descriptors()
        self.plan, self.clock = plan, PlayClock()
        self.faults = NetworkFaults(plan, base_clock=lambda: self.clock.now + EPOCH, wait=self.clock.wait)
        self.far_loop = FarLoop(self.clock)
        self.hosts = [FarHost(self.far_loop, f"s-{number}", str(seed)) for number in range(hosts)]
        self.change_log, self.peer = FarChangeLog(self.far_loop), FarPeer(self.far_loop)
        self.clients: list[FarClient] = []
        self.errors: list[BaseException] = []
        self.turns = 0
        self._events = 1  # published so far; the configuration has the first
        self._path = folder / f"gateway-{seed}.json"
        self._path.write_text(json.dumps(self._configuration()))
        self.faults.install()
        with plan.pause():
            self.loop = Loop(self.clock)
            loaded = read_configuration(str(self._path))
            self.process = GatewayProcess(str(self._path), loaded, loop=self.loop, log=Log(NO_LOG))
        self.peer_messages = 0  # received from other gateways
        self._receive_broadcast = self.process.core.receive_broadcast
        self.process.core.receive_broadcast = self._count_peer_message  # type: ignore[method-assign]
        self.loop.on_error = self.errors.append
        self.loop.running = True

    def _configuration(self) -> JsonObject:
        phases = {host.name: "Ready" for host in self.hosts}
        return {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f",
            "changelog": self.change_log.address,
            "peer_listen": "127.0.0.1:0",
            "peers_all": self.peer.address,
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
            "settings": SETTINGS,
            "known": {"seq": 1, "results": [self._event(1, phases, complete=True)]},
        }

    def _event(self, seq: int, phases: Mapping[str, str], *, complete: bool = False) -> JsonObject:
        addresses = {host.name: host.address for host in self.hosts}
        members = [
            {
                "id": name,
                "host_port": addresses[name],
                "locality": "hall-a",
                "flavor": "std",
                "cell": 2,
                "phase": phase,
                "size": 4,
                "up_since_ms": (EPOCH - HOSTS_AGE) // MILLI,
            }
            for name, phase in phases.items()
        ]
        return {"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}}

    def _count_peer_message(self, payload: bytes) -> None:
        self.peer_messages += 1
        self._receive_broadcast(payload)

    # Driving

    @property
    def front(self) -> JsonRpcFront:
        """The gateway's server for clients; only after the gateway's start."""
        assert self.process.front is not None
        return self.process.front

    @property
    def gateway_address(self) -> SocketAddress:
        """The socket address at which the gateway listens for clients."""
        return parse_address(self.front.address).target

    def connect_client(self) -> FarClient:
        """A new connection of a client."""
        self.clients.append(FarClient(self.far_loop, self.gateway_address))
        return self.clients[-1]

    def publish(self, phases: Mapping[str, str]) -> None:
        """Publishes an event of the change log with the new phases of some hosts."""
        self._events += 1
        self.change_log.publish(self._event(self._events, phases))

    def run_for(self, span: int) -> None:
        """Lets `span` ns pass, or less if the gateway's loop stops. Errors: StuckError."""
        until = self.clock.now + span
        while self.clock.now < until and self.loop.running:
            self._turn(until)

    def _turn(self, until: int) -> None:
        """One turn of both sides; if neither had anything to do, the clock moves on to the next timer."""
        self.turns += 1
        self.clock.now += TURN_TIME
        if self.turns > MAX_TURNS:
            raise StuckError(f"{MAX_TURNS} turns at {self.clock.now}")
        worked = self.far_loop.turn()
        self.clock.idle = True
        try:
            self.loop.turn()
        except Exception as error:  # noqa: BLE001 - any error would have ended the gateway
            self.errors.append(error)
            return
        if worked or not self.clock.idle or self.loop.callbacks or self.loop.admission_pending:
            return
        if arrives_soon(self.loop.epoll.fileno(), self.far_loop.epoll.fileno()):
            return
        timers = self.loop.timers
        due = min(until, math.ceil(timers[0][0]) if timers else until, self.far_loop.next_due() or until)
        self.clock.now = max(self.clock.now, due)

    # What the gateway holds

    def live_timers(self) -> list[str]:
        """The qualified names of what the gateway's timers would call."""
        return sorted(
            getattr(timer.call, "__qualname__", repr(timer.call))
            for _, _, timer in self.loop.timers
            if timer.call is not None
        )

    def unaccounted_descriptors(self) -> set[int]:
        """The open descriptors of which neither the gateway's loop nor a far end knows."""
        connections = AcceptedConnections.for_loop(self.loop)
        parked = {descriptor for descriptor, state in enumerate(connections.states) if state != NOT_PARKED}
        known = parked | set(self.loop.watched) | {self.loop.epoll.fileno(), self.loop.parked_epoll.fileno()}
        return open_descriptors() - self.descriptors_before - known - self.far_loop.descriptors()

    # The end

    def close_gateway(self) -> None:
        """Closes the gateway, as `Process.run` does at its end."""
        self.process.close()

    def close(self) -> None:
        """Closes all descriptors and puts the real system calls back."""
        self.close_gateway()
        self.faults.uninstall()
        self.loop.close()
        for client in self.clients:
            client.connection.close()
        for host in self.hosts:
            host.close()
        self.change_log.close()
        self.peer.close()
        self.far_loop.close()
        self._path.unlink()


def open_descriptors() -> set[int]:
    """The open descriptors of this process, without the one by which they are listed."""
    return {int(name) for name in os.listdir("/proc/self/fd") if os.path.exists(f"/proc/self/fd/{name}")}
