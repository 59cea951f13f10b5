"""Faults of many gateways at once: a lost zone, regions cut off, restarts, slow gateways."""

from __future__ import annotations

from benchmarks.scale.watched import CALM, CHEAP_PARTS, LONGEST, SETTLE, Figures, Scenario, WatchedFleet

ZONES = 13
LOST_ZONE = 1  # the second zone: one of the three members of the Raft group is in it
RETURN_TIME = 60  # simulated seconds after which a lost zone is back
RESTARTS, FULL_SIZE = 2400, 16_000  # in a day, of the whole fleet
DAY = 1200  # simulated seconds into which the day's restarts are put: 72 times as dense
HOUR = 3600
LAG = 400_000_000  # ns by which a slow gateway runs late


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
        lambda: watched.all_consider_dead([row.name for row in lost]), LONGEST
    )
    figures["leases_held_share"] = watched.leases_held()
    fleet.run(max(0, RETURN_TIME - (watched.now - began)))
    for host in hosts:
        fleet.host_lists.starts[host] = 2
    watched.set_host_states(hosts, "active")
    for row in lost:
        fleet.start(row)
    watched.measure_healing(
        figures, whole_again_s=watched.all_consider_all_alive, leases_again_s=watched.all_leases_held
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
        figures, whole_again_s=watched.all_consider_all_alive, leases_again_s=watched.all_leases_held
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
    began, before = watched.now, sum(watched.bytes_sent().values())
    held: list[float] = []
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
    figures["whole_again_s"] = fleet.run_until(watched.all_consider_all_alive, LONGEST)
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


SCENARIOS: tuple[Scenario, ...] = (zone_gone, parted_hour, restarts_of_a_day, slow_hundredth)
