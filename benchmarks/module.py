"""What the decision module alone costs for a task: `serve`, one relay, `heard`, a delivered answer with a
report.

    python benchmarks/module.py [--against GIT_REVISION] [--hosts 10,60,300] [--tasks 20000] [--profile]

With --against, the decisions of that revision are measured in turn with the present ones, each run in a
process of its own.
"""

import argparse
import cProfile
import importlib
import pstats
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MILLI, SECOND = 1_000_000, 1_000_000_000
MODELS = 300
LAG = 40  # tasks in flight
RENAMED = {  # fields of the terms, as revisions before called them
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
PLACES = (("gaproute.decisions.routing", "gaproute.decisions.chance"), ("gaproute.policy", "gaproute.policy"))
TOLD = {
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


def decisions():
    """(Gateway, Chance) from where this revision keeps them."""
    for route, chance in PLACES:
        try:
            return importlib.import_module(route).Gateway, importlib.import_module(chance).Chance
        except ModuleNotFoundError:
            pass
    raise SystemExit("no decisions found in this revision")


def known_terms(fields):
    """The terms by the names that this revision has for them."""
    told = TOLD | {old: TOLD[new] for new, old in RENAMED.items()}
    return {name: told[name] for name in fields if name in told}


def play(hosts, tasks):
    """Seconds of CPU for each task."""
    face = importlib.import_module("gaproute.interface")
    made, dice = decisions()
    tracks = (face.RequestClass(face.Idempotency.IDEMPOTENT, face.Group.ALL, 0, SECOND, 4 * SECOND, 1.0),)
    terms = face.Terms(tracks, **known_terms(face.Terms._fields))
    request = getattr(face, "Request", None) or face.Task
    gateway, chance = made(7, terms, 0), dice(3)
    gateway.update_hosts(
        0,
        [
            face.ListedHost(f"h{number}", number % 3, number % 5, face.State.ACTIVE, 4.0, None)
            for number in range(hosts)
        ],
        True,
    )
    weights = [int(1e6 / (rank + 1)) for rank in range(MODELS)]
    ladder, total = [], 0
    for weight in weights:
        total += weight
        ladder.append(total)
    names = []
    for _ in range(tasks):
        drawn = chance.below(total)
        names.append(f"m{next(rank for rank, top in enumerate(ladder) if drawn < top)}")
    now, flying, wait = SECOND, [], face.Wait
    begun = time.process_time()
    for number, name in enumerate(names):
        now += MILLI
        serve = gateway.serve(now, request(f"t{number}", 0, 4 * SECOND, name, 4, None, 0))
        wish = serve.send(None)
        worker = None
        while type(wish) is not wait:
            relay = type(wish) is face.Attempt
            worker = wish[0] if relay else worker
            try:
                wish = serve.send(0 if relay else None)
            except StopIteration:
                break
        if worker is not None:
            flying.append((f"t{number}", worker, now, serve))
        if len(flying) > LAG:
            task, worker, sent, serve = flying.pop(0)
            report = face.Report(1, 0, 0.3, 0.4)
            outcome = face.Outcome(
                task, 0, worker, face.Result.OK, now - sent, True, face.Found.WARM, 0, report
            )
            gateway.attempt_ended(now, outcome)
            try:
                serve.send((now, outcome))
            except StopIteration:
                pass
    return (time.process_time() - begun) / tasks


def apart(root, hosts, tasks):
    """One play in a process of its own, by the decisions of that tree."""
    told = subprocess.run(
        [sys.executable, __file__, "--once", root, "--hosts", str(hosts), "--tasks", str(tasks)],
        capture_output=True,
        check=True,
        text=True,
    )
    return float(told.stdout)


def unpacked(revision, folder):
    """The package as of that revision."""
    whole = folder / "tree.tar"
    subprocess.run(["git", "archive", "-o", whole, revision, "gaproute"], cwd=ROOT, check=True)
    with tarfile.open(whole) as tree:
        tree.extractall(folder, filter="data")
    return str(folder)


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--against")
    arguments.add_argument("--hosts", default="10,60,300")
    arguments.add_argument("--tasks", type=int, default=20000)
    arguments.add_argument("--profile", action="store_true")
    arguments.add_argument("--once", help=argparse.SUPPRESS)
    told = arguments.parse_args()
    sys.path.insert(0, told.once or str(ROOT))
    if told.once:
        print(play(int(told.hosts), told.tasks))
        return
    with tempfile.TemporaryDirectory() as folder:
        trees = {"now": str(ROOT)}
        if told.against:
            trees[told.against] = unpacked(told.against, Path(folder))
        for hosts in map(int, told.hosts.split(",")):
            if told.profile:
                profile = cProfile.Profile()
                profile.runcall(play, hosts, told.tasks)
                pstats.Stats(profile).sort_stats("tottime").print_stats(18)
                continue
            runs = {name: [] for name in trees}
            for _ in range(3):
                for name, root in trees.items():
                    runs[name].append(apart(root, hosts, told.tasks))
            print(
                f"{hosts} hosts: "
                + ", ".join(
                    f"{name} {sorted(times)[1] * 1e3:.3f} ms a task (of "
                    f"{min(times) * 1e3:.3f} to {max(times) * 1e3:.3f})"
                    for name, times in runs.items()
                )
            )


if __name__ == "__main__":
    main()
