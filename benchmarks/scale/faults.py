"""Faults at scale on the simulated clock: `python -m benchmarks.scale.faults [NAME ...] [--size N]`.

Each scenario is a function of (size, seed) that gives figures by name. What has ended is kept in
docs/measured/scale/ladders/ladder-faults.json by scenario and size; what was played before stays.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable, Iterable, Sequence

from benchmarks.scale import cell_faults
from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.watched import CHEAP_PARTS, Figures, WatchedFleet
from gaproute.hollow import PARTS, HollowGateway
from gaproute.hollow.simulation import GatewayLoop, GatewayRow, SimulatedFleet
from gaproute.hollow.simulation.network import SimulatedDatagrams
from gaproute.interface import State
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import (
    Membership,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
)
from gaproute.shared.membership.invariants import check
from gaproute.shared.membership.table import MAX_MEMBERS

FILE = LADDERS / "ladder-faults.json"
SECOND = 1_000_000_000
PING_INTERVAL = SECOND // 500  # between two strangers' pings: a quarter of what counts as a flood
ZONES = 13
LOST_ZONE = 1  # the second zone: one of three keepers is in it
SETTLE, CALM = 20, 10  # simulated seconds
LONG = 400  # simulated seconds until which something is waited for
RESTARTS, FULL_SIZE = 2400, 16_000  # in a day, of the whole fleet
DAY = 1200  # simulated seconds into which the day's restarts are put: 72 times as dense
HOUR = 3600
LATE, LAG = 30, 400_000_000  # seconds by which a list is late; ns by which a slow gateway runs late


def zone_gone(size: int, seed: int) -> Figures:
    """A thirteenth of gateways and hosts ends at once; a minute later all are back at once, empty."""
    watched = WatchedFleet(size, seed)
    fleet = watched.fleet
    figures: Figures = {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    lost = [row for number, row in enumerate(fleet.rows) if number % ZONES == LOST_ZONE]
    for row in lost:
        fleet.kill(row.name)
    hosts = [host for number, host in enumerate(fleet.host_lists.states) if number % ZONES == LOST_ZONE]
    watched.set_host_states(hosts, "gone")
    figures["lost_gateways"], figures["lost_hosts"] = len(lost), len(hosts)
    began = watched.now
    figures["deaths_known_s"] = fleet.run_until(
        lambda: watched.all_hold_dead([row.name for row in lost]), LONG
    )
    figures["leases_held_share"] = watched.leases_held()
    fleet.run(max(0, 60 - (watched.now - began)))
    for host in hosts:
        fleet.host_lists.starts[host] = 2
    watched.set_host_states(hosts, "active")
    for row in lost:
        fleet.start(row)
    watched.measure_healing(
        figures, whole_again_s=watched.all_hold_alive, leases_again_s=watched.all_leases_held
    )
    return watched.finish(figures)


def parted_hour(size: int, seed: int) -> Figures:
    """Five regions are cut off from each other for an hour; membership, hosts and leases."""
    watched = WatchedFleet(size, seed, CHEAP_PARTS)
    fleet = watched.fleet
    figures: Figures = {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    figures["calm_entries"] = watched.entries()
    region = {row.name: fleet.network.region(row.name) for row in fleet.rows}
    fleet.network.blocked = lambda sender, receiver: region[sender] != region[receiver]
    fleet.run(HOUR - CALM)
    figures["parted_bytes_per_s"] = watched.bytes_per_second(CALM)
    figures["parted_entries"] = watched.entries()
    figures["parted_news"] = fleet.totals()["membership.news"] / size
    figures["parted_leases_held_share"] = watched.leases_held()
    fleet.network.blocked = None
    watched.measure_healing(
        figures, whole_again_s=watched.all_hold_alive, leases_again_s=watched.all_leases_held
    )
    fleet.run(2 * CALM)
    figures["after_entries"] = watched.entries()
    figures["after_bytes_per_s"] = watched.bytes_per_second(CALM)
    return watched.finish(figures)


def restarts_of_a_day(size: int, seed: int) -> Figures:
    """The restarts of a day, scaled to the size, within twenty minutes: each is back empty at once."""
    watched = WatchedFleet(size, seed, CHEAP_PARTS)
    fleet = watched.fleet
    figures: Figures = {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    count = round(RESTARTS * size / FULL_SIZE)
    moments = sorted(fleet.chance.below(DAY * 1000) / 1000 for _ in range(count))
    began, before, held = watched.now, sum(watched.bytes_sent().values()), []
    for moment in moments:
        fleet.run(max(0, began + moment - watched.now))
        row = fleet.rows[fleet.chance.below(size)]
        fleet.kill(row.name)
        fleet.start(row)
        held.append(watched.leases_held())
    fleet.run(max(0, began + DAY - watched.now))
    figures["restarts"] = count
    figures["bytes_per_s"] = (sum(watched.bytes_sent().values()) - before) / DAY / size
    figures["least_leases_held_share"] = min(held)
    figures["whole_again_s"] = fleet.run_until(watched.all_hold_alive, LONG)
    figures["leases_held_share_after"] = watched.leases_held()
    return watched.finish(figures)


def slow_hundredth(size: int, seed: int) -> Figures:
    """One gateway in a hundred runs 0.4 s late in all that it does, for two minutes."""
    slow = {f"gateway-{number}" for number in range(size) if number % 100 == 50}
    watched = WatchedFleet(size, seed, lag=lambda name: LAG if name in slow else 0)
    fleet = watched.fleet
    figures: Figures = {}
    fleet.run(SETTLE)
    figures["slow_gateways"] = len(slow)
    figures["bytes_per_s"] = watched.bytes_per_second(120)
    figures["held_dead"] = watched.wrongly_dead()
    figures["leases_held_share"] = watched.leases_held()
    return watched.finish(figures)


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
    figures["punctual_know_s"] = fleet.run_until(lambda: all_know_draining(punctual, hosts), LONG)
    fleet.run(LATE - CALM - (watched.now - began))
    figures["late_bytes_per_s"] = watched.bytes_per_second(CALM)
    fleet.host_lists.publish([1])
    reached = fleet.run_until(lambda: all_know_draining(fleet.gateways.values(), hosts), LONG)
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
    figures["alike_s"] = fleet.run_until(watched.all_have_hosts, LONG)
    figures["host_entries_after"] = fleet.totals()["hosts.entries"] / size
    figures["held_dead"] = watched.wrongly_dead()
    return watched.finish(figures)


def strangers_beyond_bound(size: int, seed: int) -> Figures:
    """`size` more gateways than membership has room for ping one that does not know them.

    Then another gateway starts that knows only that one.
    """
    fleet = SimulatedFleet(1, seed=seed, part_factories={"membership": PARTS["membership"]})
    fleet.run(SETTLE)
    membership = _membership_of(fleet.gateways["gateway-0"])
    strangers = MAX_MEMBERS + size
    answers = _ping_from_strangers(fleet, strangers)
    fleet.run(strangers * PING_INTERVAL / SECOND + 1)
    figures: Figures = {
        "senders": strangers,
        "bound": MAX_MEMBERS,
        "answered": sum(_is_ack(answer) for answer in answers),
        "members_held": len(membership.members),
        "refused": membership.rejected,
    }
    row = GatewayRow(f"gateway-{strangers + 1}", fleet.address(strangers + 1))
    late = _membership_of(fleet.start(row, fleet.rows))
    fleet.run(30)
    figures["newcomer_is_held"] = row.name in membership.members
    figures["newcomer_counts_up"] = late.live_count()
    figures["breaches"] = [*check(membership, thorough=True), *check(late, thorough=True)]
    fleet.close()
    return figures


def _ping_from_strangers(fleet: SimulatedFleet, count: int) -> list[bytes]:
    """Schedule a ping from each of so many gateways; the list fills with the answers."""
    answers: list[bytes] = []
    for number in range(1, count + 1):
        row = GatewayRow(f"gateway-{number}", fleet.address(number))
        loop = GatewayLoop(fleet.loop)
        socket = SimulatedDatagrams(fleet.network, row.name, loop, row.where, answers.append)
        sender = MemberUpdate(row.name, row.where, MemberState.ALIVE, 1)
        ping = encode(MembershipMessage(MessageKind.PING, number, sender))
        fleet.loop.at(fleet.loop.time + number * PING_INTERVAL, socket.send, ping, fleet.rows[0].where)
    return answers


def _is_ack(datagram: bytes) -> bool:
    message = decode(datagram)
    assert message is not None
    return message.kind == MessageKind.ACK


def _membership_of(gateway: HollowGateway) -> Membership:
    membership: Membership = gateway.parts["membership"].membership
    return membership


def list_number(name: str) -> int:
    """The number of the list that the gateway reads: half of the gateways read the other one."""
    return int(name.rpartition("-")[2]) % 2


def all_know_draining(gateways: Iterable[HollowGateway], hosts: Sequence[str]) -> bool:
    """Whether the decisions of all these gateways know that the hosts drain."""
    return all(
        gateway.parts["hosts"].rows[host].state is State.DRAINING for gateway in gateways for host in hosts
    )


Scenario = Callable[[int, int], Figures]
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        zone_gone,
        parted_hour,
        restarts_of_a_day,
        slow_hundredth,
        late_source,
        differing_lists,
        strangers_beyond_bound,
        *cell_faults.SCENARIOS,
    )
}


def record(name: str, size: int, seed: int, figures: Figures) -> None:
    """Write a scenario's figures into the file, beside those that are there."""
    played = json.loads(FILE.read_text()) if FILE.exists() else {}
    played.setdefault(name, {})[f"{size} gateways, seed {seed}"] = figures
    LADDERS.mkdir(parents=True, exist_ok=True)
    FILE.write_text(json.dumps(played, indent=1) + "\n")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.faults", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*SCENARIOS, []])
    parser.add_argument("--size", type=int, default=250)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for name in arguments.names or SCENARIOS:
        began = time.process_time()
        figures = SCENARIOS[name](arguments.size, arguments.seed)
        figures["run_cpu_s"] = round(time.process_time() - began, 1)
        record(name, arguments.size, arguments.seed, figures)
        print(name, arguments.size, json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
