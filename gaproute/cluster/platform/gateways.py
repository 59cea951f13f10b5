"""The platform's gateways: `gaproute.platform`, each with a file and environment of its own."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from gaproute.cluster.gateways import ClusterGateways, ClusterTrial, GatewayParts
from gaproute.cluster.platform.change_log import PlatformChangeLog
from gaproute.scenarios.errors import GatewayStartError, NotReadyError
from gaproute.scenarios.processes import READY_TIME, DayProcess, Routine
from gaproute.standins.model_server import HostProfile
from gaproute.standins.platform.deployment_settings import (
    RequestClassSettings,
    Settings,
    deployment_settings,
)
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.units import MILLI

MODULE = "gaproute.platform"
READY_POLL_INTERVAL = 20 * MILLI


class PlatformGateways(ClusterGateways):
    """All gateways of one play.

    `peer_broadcast` is the process that forwards datagrams for all peers, once it has been started.
    """

    def __init__(self, trial: ClusterTrial, parts: GatewayParts, change_log: PlatformChangeLog) -> None:
        super().__init__(trial, parts)
        self.change_log = change_log
        self.peer_broadcast: DayProcess | None = None
        self.peer_broadcast_address = ""

    def start_peer_broadcast(self) -> Routine:
        """A coroutine: starts the process that forwards datagrams to each other gateway over their link."""
        plan, gateways = self.plan, range(self.context.day.gateways)
        routes = {
            plan.gateway(number).peers: [plan.peer(number, other) for other in gateways if other != number]
            for number in gateways
        }
        settings = {
            "listen": plan.peer_broadcast(),
            "tap": str(self.out / "spread.tap"),
            "ways": routes,
        }
        processes = self.trial.processes
        self.peer_broadcast = processes.start_stand_in("platform-spread", "spread", settings)
        started = yield processes.first_line(self.peer_broadcast, "the spreader")
        self.peer_broadcast_address = started["address"]

    def start(self, number: int) -> Routine:
        """A coroutine: starts the gateway and waits until it logs that it has started."""
        name = f"g{number}"
        environment = self._configuration(number).write(self.out).environment
        log = self.out / f"{name}.log"
        before = log.stat().st_size if log.exists() else 0
        process = self.trial.processes.start(
            [MODULE],
            None,
            log.name,
            reads_output=False,
            environment=environment,
            **self.process_options(number),
        )
        self.processes[number] = process
        yield from self._wait_until_started(name, process, log, before)
        self.raise_priority_if_crowded(number)
        self.tap.note("started", gateway=number, name=name)
        self.tap.flush()

    def restart(self, number: int, ending: signal.Signals, back: int) -> Routine:
        """As in the base class; clients are informed of a gateway that gets a SIGTERM."""
        if ending is signal.SIGTERM and number not in self.under_fault:
            self.trial.clients.send({"do": "leaving", "gateway": number})
        yield from super().restart(number, ending, back)

    def terminate(self, span: int) -> Routine:
        """A coroutine: ends all gateways, then the change log and the peer broadcast."""
        yield from super().terminate(span)
        self.change_log.close_input()
        if self.peer_broadcast is not None:
            self.peer_broadcast.close_input()

    def _wait_until_started(self, name: str, process: DayProcess, log: Path, before: int) -> Routine:
        """A coroutine: waits until the log, from byte `before` on, says that the gateway has started.

        Errors: `GatewayStartError` where it has ended, `NotReadyError` where it takes too long.
        """
        end = self.loop.now() + READY_TIME
        while not _has_started(log.read_bytes()[before:]):
            if process.child.poll() is not None:
                raise GatewayStartError(f"{name} did not start; see {log}")
            if self.loop.now() > end:
                raise NotReadyError(f"{name} was not up in time; see {log}")
            yield self.loop.sleep(READY_POLL_INTERVAL)

    def _configuration(self, number: int) -> GatewayConfiguration:
        """What a gateway is started with."""
        addresses = self.plan.gateway(number)
        return GatewayConfiguration(
            name=f"g{number}",
            listen=addresses.clients,
            change_log=self.plan.change_log(number),
            known=self.change_log.known_to(number),
            settings=self._deployment(),
            seed=self.trial.seed * 1000 + number,
            peer_listen=addresses.peers if self.context.day.peers else "",
            peers_all=self.peer_broadcast_address,
        )

    def _deployment(self) -> Settings:
        """The settings object, made from the script's lines."""
        script, day = self.context.script, self.context.day
        instances, life = script.warm_instances, script.host_life
        request_classes = [
            RequestClassSettings(
                line.name, line.effect, line.group, line.contract, line.limit, line.earnings, line.remembers
            )
            for line in script.request_classes
        ]
        return deployment_settings(
            request_classes,
            gateways=day.gateways,
            zones=[f"hall-{hall}" for hall in range(day.halls)],
            profile=HostProfile(
                "host",
                keep=life.keep,
                cold_share=life.cold_share,
                cold_time=life.cold_time,
                idle_close=life.idle_close,
            ),
            family_info={
                "placement_calls": instances.orders,
                "loads_anyway": instances.free,
                "load_part": instances.share,
                "loads_within": instances.window / MILLI,
            },
        )


def _has_started(text: bytes) -> bool:
    lines = [json.loads(line) for line in text.split(b"\n")[:-1] if line.startswith(b"{")]
    return any(line.get("event") == "started" for line in lines)
