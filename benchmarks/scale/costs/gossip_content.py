"""Gossip of demand: what one gateway sends and receives, by the hosts and functions in its messages."""

from benchmarks.gossip_traffic import FUNCTIONS, HOSTS
from benchmarks.scale.costs.gossip import PLAYED, SOME, SPENT, Fleet, played
from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import MS_PER_SECOND, TRACED, retained_bytes

MESSAGE_HOSTS = (4, 16, 32, 64)  # a message has 64 at most; more hosts do not make it longer
MESSAGE_FUNCTIONS = (4, 16, 64, 256)  # at most 24 of demand and 256 copies; more do not make it longer
SIZES = (4, 16, 64, 256, 1_024)
FEW = 2  # gateways among which the budget cuts nothing


def message_bytes_by_hosts(hosts: int, seed: int) -> float:
    """Mean bytes of a message."""
    one = played(Fleet(FEW, hosts=hosts), seed)
    return one.out / one.messages


def message_bytes_by_functions(functions: int, seed: int) -> float:
    """Mean bytes of a message."""
    one = played(Fleet(FEW, functions=functions), seed)
    return one.out / one.messages


def cpu_by_hosts(hosts: int, seed: int) -> float:
    """Milliseconds of CPU a second."""
    return played(Fleet(hosts=hosts), seed).spent / PLAYED * MS_PER_SECOND


def cpu_by_functions(functions: int, seed: int) -> float:
    """Milliseconds of CPU a second."""
    return played(Fleet(functions=functions), seed).spent / PLAYED * MS_PER_SECOND


def memory_by_hosts(hosts: int, seed: int) -> float:
    """Bytes of one gateway's state."""
    return retained_bytes(lambda: played(Fleet(hosts=hosts), seed))


def memory_by_functions(functions: int, seed: int) -> float:
    """Bytes of one gateway's state."""
    return retained_bytes(lambda: played(Fleet(functions=functions), seed))


BESIDE = f"{SOME} gateways"

MEASUREMENTS: Measurements = {
    **deferred(
        "gossip-word-bytes-by-hosts",
        "bytes of a word in the mean",
        "bytes",
        "hosts with tasks in hand",
        MESSAGE_HOSTS,
        message_bytes_by_hosts,
        f"with 28 of headers; {FUNCTIONS} functions; constant above 64 hosts, a page's bound",
    ),
    **deferred(
        "gossip-word-bytes-by-functions",
        "bytes of a word in the mean",
        "bytes",
        "functions asked for each second",
        MESSAGE_FUNCTIONS,
        message_bytes_by_functions,
        f"with 28 of headers; {HOSTS} hosts; constant above 256 functions, the pages' bound",
    ),
    **deferred(
        "gossip-cpu-by-hosts",
        "CPU of telling and hearing",
        "ms/s",
        "hosts with tasks in hand",
        SIZES,
        cpu_by_hosts,
        f"{SPENT}; {BESIDE}, {FUNCTIONS} functions",
    ),
    **deferred(
        "gossip-cpu-by-functions",
        "CPU of telling and hearing",
        "ms/s",
        "functions asked for each second",
        SIZES,
        cpu_by_functions,
        f"{SPENT}; {BESIDE}, {HOSTS} hosts",
    ),
    **deferred(
        "gossip-memory-by-hosts",
        "memory of what one gateway sees and holds of others",
        "bytes",
        "hosts with tasks in hand",
        SIZES,
        memory_by_hosts,
        f"after {PLAYED} s; {BESIDE}, {FUNCTIONS} functions. {TRACED}",
    ),
    **deferred(
        "gossip-memory-by-functions",
        "memory of what one gateway sees and holds of others",
        "bytes",
        "functions asked for each second",
        SIZES,
        memory_by_functions,
        f"after {PLAYED} s; {BESIDE}, {HOSTS} hosts. {TRACED}",
    ),
}
