"""Converts a day file of the bench into a script.

The script has the same faults, times and shares, on as many hosts as sockets can show. A day file is the JSON
that the bench's `draw` prints. Only its faults and sizes are read; a kind of fault that has no counterpart on
sockets is named to the caller.
"""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

MICROSECONDS = 1_000_000  # of a second, in which a day file counts
MILLISECONDS = 1000  # of a second, in which it gives how long a gateway is paused
HEAD = """# Made from a bench day: its troubles at {scale:g} of their times.
day length {length:.1f}s rate {rate:g} hosts {hosts} gateways {gateways} models 24 halls 3 list-delay 1s
kind fast-4 share 0.55 cores 4 speed 1.5 copies 14
kind base-4 share 0.45 cores 4 speed 1.0 copies 14
track fault-check pure contract 1200ms limit 5s earnings 3
track dimming-plan receipted group rack remembers 5s contract 1500ms limit 6s earnings 1
track repair-order effectful contract 600ms limit 4s earnings 3
traffic fault-check share 0.46 work 160ms lanes 4 start 400ms
traffic dimming-plan share 0.39 work 160ms lanes 4 start 400ms
traffic repair-order share 0.15 work 110ms lanes 4 start 300ms
store pace 25 limit 40 thrash 0.2
host-life keep 10s cold-share 0.17 cold-time 12s fall 2.5 tip 1500ms
copies keep 10s orders yes free 6 share 0.3 window 10s
relays limit 6 twins yes cancel yes
reports probe
cold share 0.17 time 12s
"""
REQUEST_CLASSES = ("fault-check", "dimming-plan", "repair-order")
REPLACED_OR_DOWN = ("preempt", "deploy", "vanish", "crash")  # faults that take hosts away
WITHOUT_HOSTS = ("burst", "hot", "list-late")  # faults that affect no hosts of their own

BenchFault = Mapping[str, Any]  # one of a day file's `troubles`


class Counterpart(NamedTuple):
    """The fault of a script that a kind of the bench becomes, and what its size is there."""

    name: str
    size: str | None = None  # "share" or "factor"; None: not used


COUNTERPARTS = {
    "slow": Counterpart("slow", "factor"),
    "hang": Counterpart("hang"),
    "fast_errors": Counterpart("fail", "share"),
    "answer_lost": Counterpart("lost", "share"),
    "vanish": Counterpart("vanish"),
    "crash": Counterpart("crash"),
    "mass_restart": Counterpart("crash"),
    "preempt": Counterpart("preempt"),
    "deploy": Counterpart("deploy"),
    "burst": Counterpart("burst", "factor"),
    "hot_key": Counterpart("hot", "share"),
    "heavy_tail": Counterpart("heavy", "factor"),
    "class_fail": Counterpart("lost", "share"),
    "balancer_roll": Counterpart("gateway-kill"),
    "balancer_stall": Counterpart("gateway-stall"),
    "discovery_stale": Counterpart("list-late"),
}


class ConvertedDay(NamedTuple):
    """The text of the script, and the kinds of faults that are left out of it."""

    script: str
    left_out: list[str]


class Sizes(NamedTuple):
    """How many hosts and gateways there are here and in the bench; `scale` shortens all times."""

    hosts: int
    gateways: int
    bench_servers: int
    bench_balancers: int
    scale: float


def convert_bench_day(
    day: Mapping[str, Any], hosts: int = 9, gateways: int = 3, scale: float = 1.0, rate: float = 110.0
) -> ConvertedDay:
    """The script of a day file. `rate`: requests a second; `scale` shortens all times."""
    sizes = Sizes(
        hosts, gateways, max(1, len(day.get("servers", ()))), max(1, len(day.get("balancers", ()))), scale
    )
    lines: list[str] = []
    left_out: list[str] = []
    for fault in sorted(day.get("troubles", ()), key=lambda fault: fault["at"]):
        if fault["kind"] in COUNTERPARTS:
            lines += _fault_lines(fault, sizes)
        else:
            left_out.append(fault["kind"])
    length = day["length"] / MICROSECONDS * scale
    head = HEAD.format(scale=scale, hosts=hosts, gateways=gateways, rate=rate, length=length)
    return ConvertedDay(head + "\n".join(lines) + "\n", left_out)


def _fault_lines(fault: BenchFault, sizes: Sizes) -> Iterator[str]:
    name, size = COUNTERPARTS[fault["kind"]]
    at, lasts = (fault[part] / MICROSECONDS * sizes.scale for part in ("at", "len"))
    if name == "gateway-kill":
        yield from _gateway_kills(fault, at, lasts, sizes)
    elif name == "gateway-stall":
        yield from _gateway_pauses(fault, at, lasts, sizes)
    else:
        parts = [
            f"trouble {name} at {at:.2f}s",
            _times(fault, name, lasts, sizes.scale),
            *_affected(fault, name, sizes),
            *_size(fault, size),
        ]
        yield " ".join(parts)


def _times(fault: BenchFault, name: str, lasts: float, scale: float) -> str:
    """How long a fault lasts, and when what it took away is back; the bench's table says what has these."""
    if name in REPLACED_OR_DOWN:
        notice, back = {
            "preempt": (fault["size"], fault["extra"]),
            "deploy": (fault["extra"], 1.0),
            "vanish": (lasts, 0.5),
            "crash": (0, lasts),
        }[name]
        return f"for {max(0.1, notice):.2f}s back {max(0.3, back * scale):.2f}s"
    if name == "list-late":
        return f"for {lasts:.2f}s back {fault['size'] * scale:.2f}s"
    return f"for {lasts:.2f}s"


def _affected(fault: BenchFault, name: str, sizes: Sizes) -> Iterator[str]:
    """How many hosts a fault affects, and which of their requests."""
    if name not in WITHOUT_HOSTS:
        share = len(fault.get("on", ())) / sizes.bench_servers
        hosts = sizes.hosts if name == "heavy" else max(1, round(share * sizes.hosts))
        yield f"hosts {hosts}"
    if fault["kind"] == "heavy_tail":
        yield f"share {min(1, fault['extra']):.3f}"
    if fault["kind"] in ("class_fail", "heavy_tail"):
        yield f"track {REQUEST_CLASSES[fault.get('which', 0) % len(REQUEST_CLASSES)]}"


def _size(fault: BenchFault, size: str | None) -> Iterator[str]:
    if size is not None:
        yield f"{size} {min(1, fault['size']) if size == 'share' else fault['size']:.3f}"


def _gateway_kills(fault: BenchFault, at: float, lasts: float, sizes: Sizes) -> Iterator[str]:
    """Gateways are killed one after another over the fault's length."""
    affected = _affected_gateways(fault, sizes)
    for number in range(affected):
        yield (
            f"trouble gateway-kill at {at + lasts * number / affected:.2f}s "
            f"back {max(0.2, fault['extra'] * sizes.scale):.2f}s gateway {number}"
        )


def _gateway_pauses(fault: BenchFault, at: float, lasts: float, sizes: Sizes) -> Iterator[str]:
    """Gateways are paused again and again, each a little after the one before."""
    interval = max(1.0, fault["extra"])
    for number in range(_affected_gateways(fault, sizes)):
        for turn in range(int(lasts // interval)):
            yield (
                f"trouble gateway-stall at {at + interval * turn + 0.3 * number:.2f}s "
                f"for {fault['size'] / MILLISECONDS:.2f}s gateway {number}"
            )


def _affected_gateways(fault: BenchFault, sizes: Sizes) -> int:
    return max(1, round(len(fault.get("on", ())) / sizes.bench_balancers * sizes.gateways))
