"""Plays a plan: starts all processes, sends the signals, measures, and judges what was seen."""

from __future__ import annotations

import asyncio
import multiprocessing
import signal
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from gaproute.soak import verdict
from gaproute.soak.addresses import new_addresses
from gaproute.soak.departing_clients import DepartedReport, DeparturePlan, run_departing_clients
from gaproute.soak.deployment import member, member_names, soak_settings
from gaproute.soak.gateway_process import GatewayNotReadyError, GatewayProcess
from gaproute.soak.hostile_clients import HostilePlan, run_hostile_clients
from gaproute.soak.hosts import HostsPlan, HostsReport, run_hosts
from gaproute.soak.plan import SoakPlan, kill_delay_s
from gaproute.soak.usual_clients import ClientsPlan, ClientsReport, UsualClients
from gaproute.soak.verdict import Observations
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration

HOST_COUNT = 8
USUAL_CLIENTS = 8
USUAL_INTERVAL_S = 0.08  # between two requests of one client
MEASURE_INTERVAL_S = 0.05
START_TIME_S = 1.0  # before the hostile clients come
CONNECT_TIME_AFTER_SIGTERM_S = 0.4  # in which new connections still come
LAST_EVENTS_S = 1.0  # after the end of traffic, for attempts that have begun
JOIN_TIMEOUT_S = 20.0

_processes = multiprocessing.get_context("spawn")


@dataclass(frozen=True)
class SoakResult:
    """What a soak found."""

    plan: SoakPlan
    seen: Observations
    violations: list[str]


class Soak:
    """One play of a plan; logs and configuration are written to `folder`."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        addresses = new_addresses()
        self.gateway_address, self.change_log_address = next(addresses), next(addresses)
        self.host_addresses = [next(addresses) for _ in range(HOST_COUNT)]
        self.gateway = GatewayProcess(self._configuration(), folder)
        self.connections_allowed = True  # whether the platform sends new connections to the gateway
        self.restarting = False
        self.starts: list[float] = []
        self.unexpected_ends: list[str] = []

    def _configuration(self) -> GatewayConfiguration:
        members = [
            member(name, f"{host}:{port}")
            for name, (host, port) in zip(member_names(), self.host_addresses, strict=False)
        ]
        change = {"seq": 1, "fleet": {"revision": 1, "complete": True, "members": members}}
        return GatewayConfiguration(
            name="n1",
            listen="{}:{}".format(*self.gateway_address),
            change_log="{}:{}".format(*self.change_log_address),
            known={"seq": 1, "results": [change]},  # type: ignore[list-item]
            settings=soak_settings(),
            seed=self.plan.seed,
            limits={"cores": 0.85, "memory_mb": self.plan.memory_mb, "sockets": self.plan.descriptors},
        )

    def play(self) -> SoakResult:
        """Plays the plan to its end. Errors: GatewayNotReadyError."""
        with ExitStack() as stack:
            began_at = time.monotonic()
            until = began_at + START_TIME_S + self.plan.seconds
            hosts_report = self._start_hosts(stack, until + LAST_EVENTS_S)
            stack.callback(self.gateway.kill)
            self._start_gateway()
            departed_report = self._start_hostile_clients(stack, until)
            clients_report = asyncio.run(self._run_clients(began_at + START_TIME_S, until))
            seen = Observations(
                clients=clients_report,
                hosts=hosts_report(),
                departed=departed_report(),
                peak_memory_mb=self.gateway.peak_memory_mb,
                most_descriptors=self.gateway.most_descriptors,
                starts=self.starts,
                unexpected_ends=self.unexpected_ends,
            )
        return SoakResult(self.plan, seen, verdict.find_violations(self.plan, seen))

    # Processes

    def _start_gateway(self) -> None:
        self.starts.append(time.monotonic())
        self.gateway.start()

    def _start_hosts(self, stack: ExitStack, until: float) -> Callable[[], HostsReport]:
        parent, child = _processes.Pipe()
        plan = HostsPlan(
            self.host_addresses,
            self.change_log_address,
            self.plan.host_fault,
            self.plan.change_log_fault,
            until,
            self.plan.seed,
        )
        self._start_process(stack, run_hosts, plan, child)
        parent.recv()  # the hosts listen
        report: Callable[[], HostsReport] = parent.recv
        return report

    def _start_hostile_clients(self, stack: ExitStack, until: float) -> Callable[[], DepartedReport]:
        for kind in self.plan.hostile_kinds:
            hostile = HostilePlan(
                kind, self.gateway_address, self.plan.hostile_connections, until, self.plan.seed
            )
            self._start_process(stack, run_hostile_clients, hostile)
        if not self.plan.departing:
            return DepartedReport
        parent, child = _processes.Pipe()
        plan = DeparturePlan(self.gateway_address, until, self.plan.seed)
        self._start_process(stack, run_departing_clients, plan, child)
        report: Callable[[], DepartedReport] = parent.recv
        return report

    def _start_process(self, stack: ExitStack, target: Callable[..., None], *arguments: object) -> None:
        process = _processes.Process(target=target, args=arguments, daemon=True)
        process.start()
        stack.callback(process.join, JOIN_TIMEOUT_S)
        stack.callback(process.terminate)  # its report has come; a busy process may end late by itself

    # Clients and signals

    async def _run_clients(self, began_at: float, until: float) -> ClientsReport:
        plan = ClientsPlan(self.gateway_address, USUAL_CLIENTS, USUAL_INTERVAL_S, until, self.plan.seed)
        clients = UsualClients(plan, lambda: self.connections_allowed)
        watching = asyncio.create_task(self._watch_process())
        signalling = [
            *[asyncio.create_task(self._reload(began_at + at)) for at in self.plan.reload_times],
            *[asyncio.create_task(self._restart(began_at + at)) for at in self.plan.restart_times],
        ]
        report = await clients.run()
        await asyncio.gather(*signalling)
        await asyncio.sleep(LAST_EVENTS_S)
        watching.cancel()
        return report

    async def _watch_process(self) -> None:
        while True:
            self.gateway.measure()
            if not self.gateway.is_running() and not self.gateway.exits_expected:
                process = self.gateway.process
                code = process.returncode if process is not None else None
                self.unexpected_ends.append(f"the gateway process ended with code {code}")
                return
            await asyncio.sleep(MEASURE_INTERVAL_S)

    async def _reload(self, at: float) -> None:
        await _sleep_until(at)
        self.gateway.send_signal(signal.SIGHUP)

    async def _restart(self, at: float) -> None:
        """SIGTERM, then SIGKILL as early as the platform allows it, then a new start."""
        await _sleep_until(at)
        self.gateway.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        await _sleep_until(signalled_at + CONNECT_TIME_AFTER_SIGTERM_S)
        self.connections_allowed = False
        await _sleep_until(signalled_at + kill_delay_s())
        process = self.gateway.process
        if process is not None and process.poll() not in (None, 0):
            self.unexpected_ends.append(f"after SIGTERM the process ended with code {process.returncode}")
        self.gateway.kill()
        try:
            self._start_gateway()
        except GatewayNotReadyError as error:
            self.unexpected_ends.append(str(error))
        self.connections_allowed = True


async def _sleep_until(when: float) -> None:
    await asyncio.sleep(max(0.0, when - time.monotonic()))
