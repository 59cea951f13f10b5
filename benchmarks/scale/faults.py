"""Faults at scale on the simulated clock: `python -m benchmarks.scale.faults [NAME ...] [--size N]`.

Each scenario is a function of (size, seed) that gives figures by name. What has ended is kept in
docs/measured/scale/ladders/ladder-faults.json by scenario and size; what was played before stays.
"""

import argparse
import json
import time

from benchmarks.scale import cell_faults
from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.watched import CHEAP, Watched
from gaproute.hollow import PARTS
from gaproute.hollow.simulation import GatewayLoop, GatewayRow, SimulatedFleet
from gaproute.hollow.simulation.network import SimulatedDatagrams
from gaproute.interface import State
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.invariants import check
from gaproute.shared.membership.table import MAX_MEMBERS

FILE = LADDERS / "ladder-faults.json"
SECOND = 1_000_000_000
PING_EVERY = SECOND // 500  # between two strangers' pings: a quarter of what counts as a flood
ZONES = 13
LOST_ZONE = 1  # the second zone: one of three keepers is in it
SETTLE, CALM = 20, 10  # simulated seconds
LONG = 400  # simulated seconds until which something is waited for
RESTARTS, FULL_SIZE = 2400, 16_000  # in a day, of the whole fleet
DAY = 1200  # simulated seconds into which the day's restarts are put: 72 times as dense
HOUR = 3600
LATE, LAG = 30, 400_000_000  # seconds by which a source is late; ns by which a slow gateway is


def zone_gone(size, seed):
    """A thirteenth of gateways and hosts ends at once; a minute later all are back at once, empty."""
    watched = Watched(size, seed)
    fleet, figures = watched.fleet, {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    lost = [row for number, row in enumerate(fleet.rows) if number % ZONES == LOST_ZONE]
    for row in lost:
        fleet.kill(row.name)
    hosts = [host for number, host in enumerate(fleet.host_lists.states) if number % ZONES == LOST_ZONE]
    watched.hosts_are(hosts, "gone")
    figures["lost_gateways"], figures["lost_hosts"] = len(lost), len(hosts)
    began = watched.now
    figures["deaths_known_s"] = fleet.run_until(lambda: watched.all_dead([row.name for row in lost]), LONG)
    figures["leases_held_share"] = watched.leases_held()
    fleet.run(max(0, 60 - (watched.now - began)))
    for host in hosts:
        fleet.host_lists.starts[host] = 2
    watched.hosts_are(hosts, "active")
    for row in lost:
        fleet.start(row)
    watched.healing(figures, whole_again_s=watched.whole, leases_again_s=watched.all_leases)
    return watched.ended(figures)


def parted_hour(size, seed):
    """Five regions lose each other for an hour and find each other again; membership, hosts and leases."""
    watched = Watched(size, seed, CHEAP)
    fleet, figures = watched.fleet, {}
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
    watched.healing(figures, whole_again_s=watched.whole, leases_again_s=watched.all_leases)
    fleet.run(2 * CALM)
    figures["after_entries"] = watched.entries()
    figures["after_bytes_per_s"] = watched.bytes_per_second(CALM)
    return watched.ended(figures)


def restarts_of_a_day(size, seed):
    """The restarts of a day, scaled to the size, within twenty minutes: each is back empty at once."""
    watched = Watched(size, seed, CHEAP)
    fleet, figures = watched.fleet, {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    count = round(RESTARTS * size / FULL_SIZE)
    moments = sorted(fleet.chance.below(DAY * 1000) / 1000 for _ in range(count))
    began, before, held = watched.now, sum(watched.sent().values()), []
    for moment in moments:
        fleet.run(max(0, began + moment - watched.now))
        row = fleet.rows[fleet.chance.below(size)]
        fleet.kill(row.name)
        fleet.start(row)
        held.append(watched.leases_held())
    fleet.run(max(0, began + DAY - watched.now))
    figures["restarts"] = count
    figures["bytes_per_s"] = (sum(watched.sent().values()) - before) / DAY / size
    figures["least_leases_held_share"] = min(held)
    figures["whole_again_s"] = fleet.run_until(watched.whole, LONG)
    figures["leases_held_share_after"] = watched.leases_held()
    return watched.ended(figures)


def slow_hundredth(size, seed):
    """One gateway in a hundred runs 0.4 s late in all that it does, for two minutes."""
    slow = {f"gateway-{number}" for number in range(size) if number % 100 == 50}
    watched = Watched(size, seed, lag=lambda name: LAG if name in slow else 0)
    fleet, figures = watched.fleet, {}
    fleet.run(SETTLE)
    figures["slow_gateways"] = len(slow)
    figures["bytes_per_s"] = watched.bytes_per_second(120)
    figures["held_dead"] = watched.wrongly_dead()
    figures["leases_held_share"] = watched.leases_held()
    return watched.ended(figures)


def late_source(size, seed):
    """Half of the gateways read a source that answers 30 s late when a tenth of the hosts begins to drain."""
    watched = Watched(size, seed, files=2, host_list_of=half)
    fleet, figures = watched.fleet, {}
    fleet.run(SETTLE)
    figures["calm_bytes_per_s"] = watched.bytes_per_second(CALM)
    hosts = list(fleet.host_lists.states)[::10]
    began = watched.now
    watched.hosts_are(hosts, "draining", [0])
    punctual = [gateway for gateway in fleet.gateways.values() if not half(gateway.name)]
    figures["punctual_know_s"] = fleet.run_until(lambda: know(punctual, hosts), LONG)
    fleet.run(LATE - CALM - (watched.now - began))
    figures["late_bytes_per_s"] = watched.bytes_per_second(CALM)
    fleet.host_lists.publish([1])
    all_know = fleet.run_until(lambda: know(fleet.gateways.values(), hosts), LONG)
    figures["all_know_s"] = watched.since(began, all_know)
    figures["held_dead"] = watched.wrongly_dead()
    return watched.ended(figures)


def differing_lists(size, seed):
    """Half of the gateways read a list without a tenth of the hosts for a minute; then all read the same."""
    watched = Watched(size, seed, files=2, host_list_of=half)
    fleet, figures = watched.fleet, {}
    hosts = list(fleet.host_lists.states)[::10]
    watched.hosts_are(hosts, "gone", [1])
    fleet.run(SETTLE)
    figures["bytes_per_s"] = watched.bytes_per_second(40)
    totals = fleet.totals()
    figures["host_entries"] = totals["hosts.entries"] / size
    figures["demand_refused"] = totals["demand.refused"]
    watched.hosts_are(hosts, "active")
    figures["alike_s"] = fleet.run_until(watched.alike, LONG)
    figures["host_entries_after"] = fleet.totals()["hosts.entries"] / size
    figures["held_dead"] = watched.wrongly_dead()
    return watched.ended(figures)


def strangers_beyond_bound(size, seed):
    """`size` more gateways than membership has room for ping one that does not know them; then another
    gateway starts that knows only that one."""
    fleet, figures = SimulatedFleet(1, seed=seed, part_factories={"membership": PARTS["membership"]}), {}
    fleet.run(SETTLE)
    held = fleet.gateways["gateway-0"].parts["membership"].membership
    heard, senders = [], MAX_MEMBERS + size
    for number in range(1, senders + 1):
        row = GatewayRow(f"gateway-{number}", fleet.address(number))
        loop = GatewayLoop(fleet.loop)
        line = SimulatedDatagrams(fleet.network, row.name, loop, row.where, heard.append)
        ping = MembershipMessage(
            MessageKind.PING, number, MemberUpdate(row.name, row.where, MemberState.ALIVE, 1)
        )
        fleet.loop.at(fleet.loop.time + number * PING_EVERY, line.send, encode(ping), fleet.rows[0].where)
    fleet.run(senders * PING_EVERY / SECOND + 1)
    figures["senders"], figures["bound"] = senders, MAX_MEMBERS
    figures["answered"] = sum(decode(data).kind == MessageKind.ACK for data in heard)
    figures["members_held"], figures["refused"] = len(held.members), held.rejected
    row = GatewayRow(f"gateway-{senders + 1}", fleet.address(senders + 1))
    late = fleet.start(row, fleet.rows).parts["membership"].membership
    fleet.run(30)
    figures["newcomer_is_held"] = row.name in held.members
    figures["newcomer_counts_up"] = late.live_count()
    figures["breaches"] = [*check(held, thorough=True), *check(late, thorough=True)]
    fleet.close()
    return figures


def half(name):
    """The number of the list that the gateway reads."""
    return int(name.rpartition("-")[2]) % 2


def know(gateways, hosts):
    """Whether the decisions of all these gateways know that the hosts drain."""
    return all(
        gateway.parts["hosts"].rows[host].state is State.DRAINING for gateway in gateways for host in hosts
    )


SCENARIOS = {
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


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.faults", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*SCENARIOS, []])
    parser.add_argument("--size", type=int, default=250)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for name in told.names or SCENARIOS:
        began = time.process_time()
        figures = SCENARIOS[name](told.size, told.seed)
        figures["run_cpu_s"] = round(time.process_time() - began, 1)
        kept = json.loads(FILE.read_text()) if FILE.exists() else {}
        kept.setdefault(name, {})[f"{told.size} gateways, seed {told.seed}"] = figures
        LADDERS.mkdir(parents=True, exist_ok=True)
        FILE.write_text(json.dumps(kept, indent=1) + "\n")
        print(name, told.size, json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
