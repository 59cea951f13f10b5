"""Faults of the host lists: gateways that read a late list, or one without some of the hosts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from benchmarks.scale.watched import CALM, LONGEST, SETTLE, Figures, Scenario, WatchedFleet
from gaproute.hollow import HollowGateway
from gaproute.interface import ListedHostState

LATE = 30  # simulated seconds by which a list is late


def late_source(size: int, seed: int) -> Figures:
    """Half of the gateways read a source that answers 30 s late when a tenth of the hosts begins to drain."""
    watched = WatchedFleet(size, seed, files=2, host_list_of=list_number)
    fleet = watched.fleet
    figures: Figures = {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    hosts = list(fleet.host_lists.states)[::10]
    began = watched.now
    watched.set_host_states(hosts, "draining", [0])
    punctual = [gateway for gateway in fleet.gateways.values() if not list_number(gateway.name)]
    figures["punctual_know_s"] = fleet.run_until(lambda: all_know_draining(punctual, hosts), LONGEST)
    fleet.run(LATE - CALM - (watched.now - began))
    figures["late_bytes_per_s"] = watched.bytes_per_second(CALM)
    fleet.host_lists.publish([1])
    reached = fleet.run_until(lambda: all_know_draining(fleet.gateways.values(), hosts), LONGEST)
    figures["all_know_s"] = watched.seconds_since(began, reached)
    figures["held_dead"] = watched.wrongly_dead()
    return watched.finish(figures)


def differing_lists(size: int, seed: int) -> Figures:
    """Half of the gateways read a list without a tenth of the hosts for a minute; then all read the same."""
    watched = WatchedFleet(size, seed, files=2, host_list_of=list_number)
    fleet = watched.fleet
    figures: Figures = {}
    hosts = list(fleet.host_lists.states)[::10]
    watched.set_host_states(hosts, "gone", [1])
    fleet.run(SETTLE)
    figures["bytes_per_s"] = watched.bytes_per_second(40)
    totals = fleet.totals()
    figures["host_entries"] = totals["hosts.entries"] / size
    figures["demand_refused"] = totals["demand.refused"]
    watched.set_host_states(hosts, "active")
    figures["alike_s"] = fleet.run_until(watched.all_have_hosts, LONGEST)
    figures["host_entries_after"] = fleet.totals()["hosts.entries"] / size
    figures["held_dead"] = watched.wrongly_dead()
    return watched.finish(figures)


def list_number(name: str) -> int:
    """The number of the list that the gateway reads: half of the gateways read the other one."""
    return int(name.rpartition("-")[2]) % 2


def all_know_draining(gateways: Iterable[HollowGateway], hosts: Sequence[str]) -> bool:
    """Whether the decisions of all these gateways know that the hosts drain."""
    return all(
        gateway.parts["hosts"].rows[host].state is ListedHostState.DRAINING
        for gateway in gateways
        for host in hosts
    )


SCENARIOS: tuple[Scenario, ...] = (late_source, differing_lists)
