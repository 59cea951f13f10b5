"""What the decision module alone costs for a task: `serve`, one relay, `heard`, a delivered answer with a
report.

    python benchmarks/module.py [--against GIT_REVISION] [--hosts 10,60,300] [--tasks 20000] [--profile]

With --against, the module of that revision is measured in turn with the present one, in one process.
"""
import argparse
import cProfile
import pstats
import subprocess
import sys
import time
import types
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from gaproute import interface as face
from gaproute import policy

MILLI, SECOND = 1_000_000, 1_000_000_000
MODELS = 300
LAG = 40                 # tasks in flight
TRACKS = (face.Track(face.Effect.PURE, face.Group.ALL, 0, SECOND, 4 * SECOND, 1.0),)
TERMS = face.Terms(
    TRACKS,
    (),
    1.0,
    10 * SECOND,
    True,
    6,
    0.3,
    10 * SECOND,
    True,
    True,
    True,
    False,
    True,
    True,
    4,
    SECOND,
    0.2,
    10 * SECOND,
    False,
)


def module(revision):
    made = types.ModuleType(f"policy_{revision}")
    source = subprocess.run(["git", "show", f"{revision}:gaproute/policy.py"], cwd=ROOT, capture_output=True,
                            check=True).stdout
    exec(compile(source, f"{revision}:policy.py", "exec"), made.__dict__)
    return made


def play(made, hosts, tasks):
    """Seconds of CPU for each task."""
    gateway = made.Gateway(7, TERMS, 0)
    gateway.listed(0, [face.Listed(f"h{number}", number % 3, number % 5, face.State.ACTIVE, 4.0, None)
                       for number in range(hosts)], True)
    chance = made.Chance(3)
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
        serve = gateway.serve(now, face.Task(f"t{number}", 0, 4 * SECOND, name, 4, None, 0))
        wish = serve.send(None)
        worker = None
        while type(wish) is not wait:
            relay = type(wish) is face.Relay
            worker = wish.worker if relay else worker
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
            gateway.heard(now, outcome)
            try:
                serve.send((now, outcome))
            except StopIteration:
                pass
    return (time.process_time() - begun) / tasks


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--against")
    arguments.add_argument("--hosts", default="10,60,300")
    arguments.add_argument("--tasks", type=int, default=20000)
    arguments.add_argument("--profile", action="store_true")
    told = arguments.parse_args()
    modules = {"now": policy} | ({told.against: module(told.against)} if told.against else {})
    for hosts in map(int, told.hosts.split(",")):
        if told.profile:
            profile = cProfile.Profile()
            profile.runcall(play, policy, hosts, told.tasks)
            pstats.Stats(profile).sort_stats("tottime").print_stats(18)
            continue
        runs = {name: [] for name in modules}
        for _ in range(3):
            for name, made in modules.items():
                runs[name].append(play(made, hosts, told.tasks))
        print(f"{hosts} hosts: " + ", ".join(f"{name} {sorted(times)[1] * 1e3:.3f} ms a task (of "
                                             f"{min(times) * 1e3:.3f} to {max(times) * 1e3:.3f})"
                                             for name, times in runs.items()))


if __name__ == "__main__":
    main()
