"""How far what one gateway reads of the fleet by gossip is from what is true."""

from __future__ import annotations

import time
from collections.abc import Mapping
from statistics import mean

from benchmarks.gossip_fleet import GossipFleet
from benchmarks.gossip_traffic import SECOND, GossipTraffic
from gaproute.shared.gossip import GossipNode

POPULAR = 10  # functions whose demand is read
RECENT = 60 * SECOND  # an instance used within it should be known
DEMAND_STEP = 2  # s over which demand is counted


def read_at(fleet: GossipFleet, name: str) -> dict[str, float]:
    """The errors at one gateway; the names are those of the table."""
    node, traffic, now = fleet.nodes[name], fleet.traffic, fleet.now
    began = time.process_time()
    estimates = {host: node.in_flight(now, host) for host in traffic.hosts}
    cpu_time = time.process_time() - began
    first = estimates[traffic.hosts[0]]
    own = {host: float(traffic.in_flight[name][host] * len(fleet.nodes)) for host in traffic.hosts}
    return {
        "read, us": 1e6 * cpu_time,
        "hands": in_flight_error(traffic, {host: each.total for host, each in estimates.items()}),
        "alone": in_flight_error(traffic, own),
        "now": in_flight_error(traffic, traffic.true_counts),
        "age, s": first.age / SECOND,
        "tellers": first.origin_count,
        **demand_errors(node, traffic, now),
        **instance_errors(node, traffic, now),
    }


def in_flight_error(traffic: GossipTraffic, counts: Mapping[str, float]) -> float:
    """Mean error of hosts' requests in flight against their means of the last steps, % of the mean host."""
    means = {host: mean([each[host] for each in traffic.history]) for host in traffic.hosts}
    usual = mean(means.values())
    return 100 * mean(abs(counts[host] - means[host]) for host in traffic.hosts) / usual


def demand_errors(node: GossipNode, traffic: GossipTraffic, now: int) -> dict[str, float]:
    """Of the most popular functions: mean error in %, and the estimated deviation over the true one."""
    errors, spreads = [], []
    for rank, function in enumerate(traffic.functions[:POPULAR]):
        estimate, true = node.demand(now, function, 0), traffic.true_demand(rank)
        errors.append(100 * abs(estimate.total - true) / true)
        spreads.append(estimate.deviation / (true / DEMAND_STEP) ** 0.5)  # arrivals are Poisson distributed
    return {"demand": mean(errors), "spread": mean(spreads)}


def instance_errors(node: GossipNode, traffic: GossipTraffic, now: int) -> dict[str, float]:
    """Instances used lately that are known, %, and those known that never were."""
    recent = {instance for instance, used in traffic.instances.items() if now - used < RECENT}
    known = {
        (host, function) for function in traffic.functions for host in node.warm_instances(now, function)
    }
    return {
        "warm": 100 * len(known & recent) / len(recent),
        "false": len(known - traffic.instances.keys()),
    }
