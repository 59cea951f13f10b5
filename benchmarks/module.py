"""What the decisions alone cost for a request: `serve`, one attempt, `heard`, a delivered answer with a
report.

    python benchmarks/module.py [--against GIT_REVISION] [--hosts 10,60,300] [--tasks 20000] [--profile]

With --against, the decisions of that revision are measured in turn with the present ones, each run in a
process of its own.
"""

from __future__ import annotations

import argparse
import cProfile
import importlib
import pstats
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import deque
from collections.abc import Generator, Iterator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
MILLI, SECOND = 1_000_000, 1_000_000_000
FUNCTIONS = 300
IN_FLIGHT = 40  # requests
ROUNDS = 3  # in turn, so that the machine's drift affects all revisions alike
PROFILE_LINES = 18
# Where a revision has its decisions and their chance.
MODULES = (
    ("gaproute.decisions.routing", "gaproute.decisions.chance"),
    ("gaproute.policy", "gaproute.policy"),
)
EARLIER_NAMES = {  # of fields of the routing settings, in earlier revisions
    "load_orders_allowed": "orders_allowed",
    "load_orders_free": "order_free",
    "load_order_share": "order_share",
    "load_order_window": "order_window",
    "same_function_counted": "counts_alike",
    "warmth_reported": "notes_warmth",
    "reported_figures": "reported",
    "hedging_allowed": "twins_allowed",
    "attempt_limit": "relay_limit",
    "retry_after_limit": "advice_limit",
    "warm_up_share": "cold_share",
    "warm_up_time": "cold_time",
    "host_list_polled": "must_ask_list",
}
EARLIER_CLASSES = {  # names of classes in earlier revisions
    "HostLoadReport": "Report",
    "IdempotencyScope": "Group",
    "InstanceStatus": "Found",
    "ListedHostState": "State",
    "RandomGenerator": "Chance",
    "RoutingSettings": "Terms",
}
ROUTING_SETTINGS: dict[str, Any] = {
    "tenant_shares": (),
    "over_share_value": 1.0,
    "keep_alive": 10 * SECOND,
    "load_orders_allowed": True,
    "load_orders_free": 6,
    "load_order_share": 0.3,
    "load_order_window": 10 * SECOND,
    "same_function_counted": True,
    "warmth_reported": True,
    "probes_allowed": True,
    "reports_by_probe": False,
    "reported_figures": (),
    "probe_price": 0.0,
    "peer_price": 0.0,
    "peers_allowed": False,
    "gateways": 1,
    "cancel_allowed": True,
    "hedging_allowed": True,
    "attempt_limit": 4,
    "retry_after_limit": SECOND,
    "warm_up_share": 0.2,
    "warm_up_time": 10 * SECOND,
    "host_list_polled": False,
    "zone": -1,
    "crossing_price": 0.0,
}


class Revision(NamedTuple):
    """What a revision of the program offers for a play."""

    interface: Any  # the module
    gateway: Any  # the class of the decisions
    chance: Any  # the class of seeded chance
    request: Any  # the class of a request


class SentRequest(NamedTuple):
    """A request whose attempt is in flight."""

    id: str
    host: str
    sent: int
    generator: Generator[Any, Any, None]


def load_revision() -> Revision:
    """The revision that the path finds. Errors: SystemExit where it has no decisions that are known here."""
    interface = importlib.import_module("gaproute.interface")
    request = getattr(interface, "Request", None) or interface.Task
    for decisions, chance in MODULES:
        with suppress(ModuleNotFoundError):
            gateway = importlib.import_module(decisions).Gateway
            generator = find_class(importlib.import_module(chance), "RandomGenerator")
            return Revision(interface, gateway, generator, request)
    raise SystemExit("no decisions found in this revision")


def find_class(module: Any, name: str) -> Any:
    """The class by its present name, or by the name that earlier revisions have for it."""
    return getattr(module, name, None) or getattr(module, EARLIER_CLASSES[name])


def known_routing_settings(fields: Sequence[str]) -> dict[str, Any]:
    """The routing settings by the names that the revision has for them."""
    routing_settings = ROUTING_SETTINGS | {
        earlier: ROUTING_SETTINGS[name] for name, earlier in EARLIER_NAMES.items()
    }
    return {name: routing_settings[name] for name in fields if name in routing_settings}


def make_gateway(revision: Revision, hosts: int) -> Any:
    """The decisions before so many hosts."""
    interface = revision.interface
    idempotent, everybody = interface.Idempotency.IDEMPOTENT, find_class(interface, "IdempotencyScope").ALL
    request_class = interface.RequestClass(idempotent, everybody, 0, SECOND, 4 * SECOND, 1.0)
    settings = find_class(interface, "RoutingSettings")
    routing_settings = settings((request_class,), **known_routing_settings(settings._fields))
    gateway = revision.gateway(7, routing_settings, 0)
    active = find_class(interface, "ListedHostState").ACTIVE
    rows = [
        interface.ListedHost(f"h{number}", number % 3, number % 5, active, 4.0, None)
        for number in range(hosts)
    ]
    gateway.update_hosts(0, rows, complete=True)
    return gateway


def draw_functions(chance: Any, count: int) -> list[str]:
    """The functions of `count` requests; the n-th is asked for with a weight of 1 / n."""
    sums, total = [], 0
    for rank in range(FUNCTIONS):
        total += int(1e6 / (rank + 1))
        sums.append(total)
    drawn = [chance.below(total) for _ in range(count)]
    return [f"m{next(rank for rank, top in enumerate(sums) if number < top)}" for number in drawn]


def play(hosts: int, requests: int) -> float:
    """Seconds of CPU for each request, with the decisions that the path finds."""
    revision = load_revision()
    gateway = make_gateway(revision, hosts)
    functions = draw_functions(revision.chance(3), requests)
    now, in_flight = SECOND, deque[SentRequest]()
    began = time.process_time()
    for number, function in enumerate(functions):
        now += MILLI
        request = revision.request(f"t{number}", 0, 4 * SECOND, function, 4, None, 0)
        sent = _send(revision, gateway, now, request)
        if sent is not None:
            in_flight.append(sent)
        if len(in_flight) > IN_FLIGHT:
            _answer(revision, gateway, now, in_flight.popleft())
    return (time.process_time() - began) / requests


def _send(revision: Revision, gateway: Any, now: int, request: Any) -> SentRequest | None:
    """Start the request's generator up to its first wait; None where no host got it."""
    interface = revision.interface
    generator = gateway.serve(now, request)
    action, host = generator.send(None), None
    while type(action) is not interface.Wait:
        is_attempt = type(action) is interface.Attempt
        host = action[0] if is_attempt else host
        try:
            action = generator.send(0 if is_attempt else None)
        except StopIteration:
            break
    return None if host is None else SentRequest(request.id, host, now, generator)


def _answer(revision: Revision, gateway: Any, now: int, sent: SentRequest) -> None:
    """The host's answer comes, with a load report."""
    interface = revision.interface
    result, found = interface.Result.OK, find_class(interface, "InstanceStatus").WARM
    report = find_class(interface, "HostLoadReport")(1, 0, 0.3, 0.4)
    outcome = interface.Outcome(sent.id, 0, sent.host, result, now - sent.sent, True, found, 0, report)
    gateway.attempt_ended(now, outcome)
    with suppress(StopIteration):
        sent.generator.send((now, outcome))


def play_in_process(root: str, hosts: int, requests: int) -> float:
    """One play in a process of its own, by the decisions of that tree."""
    arguments = ["--once", root, "--hosts", str(hosts), "--tasks", str(requests)]
    printed = subprocess.run(
        [sys.executable, __file__, *arguments], capture_output=True, check=True, text=True
    )
    return float(printed.stdout)


def unpack(revision: str, folder: Path) -> str:
    """Unpack the package as of that git revision; the folder."""
    archive = folder / "tree.tar"
    subprocess.run(["git", "archive", "-o", archive, revision, "gaproute"], cwd=ROOT, check=True)
    with tarfile.open(archive) as tree:
        tree.extractall(folder, filter="data")
    return str(folder)


def profile(hosts: int, requests: int) -> None:
    """Print where a play spends its time."""
    profiler = cProfile.Profile()
    profiler.runcall(play, hosts, requests)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def compare(trees: dict[str, str], hosts: int, requests: int) -> str:
    """A line with the cost by each tree: the median, the least and the greatest of some rounds."""
    runs: dict[str, list[float]] = {name: [] for name in trees}
    for _ in range(ROUNDS):
        for name, root in trees.items():
            runs[name].append(play_in_process(root, hosts, requests))
    return f"{hosts} hosts: " + ", ".join(_summaries(runs))


def _summaries(runs: dict[str, list[float]]) -> Iterator[str]:
    for name, times in runs.items():
        least, middle, greatest = (1e3 * seconds for seconds in (min(times), sorted(times)[1], max(times)))
        yield f"{name} {middle:.3f} ms a task (of {least:.3f} to {greatest:.3f})"


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--against")
    options.add_argument("--hosts", default="10,60,300")
    options.add_argument("--tasks", type=int, default=20000)
    options.add_argument("--profile", action="store_true")
    options.add_argument("--once", help=argparse.SUPPRESS)
    arguments = options.parse_args()
    sys.path.insert(0, arguments.once or str(ROOT))
    if arguments.once:
        print(play(int(arguments.hosts), arguments.tasks))
        return
    with tempfile.TemporaryDirectory() as folder:
        trees = {"now": str(ROOT)}
        if arguments.against:
            trees[arguments.against] = unpack(arguments.against, Path(folder))
        for hosts in map(int, arguments.hosts.split(",")):
            if arguments.profile:
                profile(hosts, arguments.tasks)
            else:
                print(compare(trees, hosts, arguments.tasks))


if __name__ == "__main__":
    main()
