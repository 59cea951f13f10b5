"""How often a host closes a kept connection just as a task goes out on it, for each way to choose
connections.

    python benchmarks/kept_connections.py [--seconds 20] [--hosts 60] [--out docs/measured]

The hosts are healthy listeners of one process that close a connection after 1 s at rest. To each goes an
effectful task every 1 s, give or take 4 ms: the worst spacing there is. Each task that ends in a reset would
be scrapped. The last row's host says `Keep-Alive: timeout=1`, as many do.
"""

import argparse
import json
import random
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.decisions.connections.pooling import MAX_IDLE, Pooling
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import Limits, Server
from gaproute.interface import Idempotency, ListedHost, Result, State
from gaproute.interface.call import Call
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000


class AnyRest(Pooling):
    """The common way: a kept connection is used as long as it looks open."""

    def max_idle(self, now, worker, effect, told):
        return MAX_IDLE


class AlwaysNew(Pooling):
    """A new connection for every effectful task."""

    def max_idle(self, now, worker, effect, told):
        return MAX_IDLE if effect is Idempotency.IDEMPOTENT else -1


class SeenOnly(Pooling):
    """Half the shortest rest after which the host was seen to close one, and nothing known beforehand."""

    def max_idle(self, now, worker, effect, told):
        return super().max_idle(now, worker, Idempotency.IDEMPOTENT, told)


def listeners(count, tells, idle_time=SECOND):
    loop, servers = Loop(), []
    headers = ((b"Keep-Alive", b"timeout=1"),) if tells else ()
    for _ in range(count):

        def handle(request):
            request.link.server.answer(request, 200, headers, b"{}")

        servers.append(Server(loop, address("127.0.0.1:0"), handle, Limits(idle_time=idle_time)))
    print(json.dumps([server.address for server in servers]), flush=True)
    loop.run()


def play(pooling, count, seconds, tells=False, effect=Idempotency.NON_IDEMPOTENT):
    sink = subprocess.Popen(
        [sys.executable, __file__, "listeners", str(count), str(int(tells))], stdout=subprocess.PIPE
    )
    where = json.loads(sink.stdout.readline())
    loop, chance = Loop(), random.Random(1)
    hosts = KServeClient(loop, pooling)
    hosts.update(
        [
            Endpoint(ListedHost(f"h{place}", 0, 0, State.ACTIVE, 1.0, None), each)
            for place, each in enumerate(where)
        ],
        complete=True,
    )
    call, results = Call("m", "", (), b"{}"), {}
    end = loop.now() + round(seconds * SECOND)

    def stream(worker):
        yield loop.sleep(round(chance.random() * SECOND))
        while loop.now() < end:
            came = Promise()
            hosts.send(worker, call, effect, "t", 0, 1 << 62, came.set)
            heard = yield came
            results[heard.result] = results.get(heard.result, 0) + 1
            yield loop.sleep(SECOND + round(chance.uniform(-4, 4) * MILLI))

    for done in [loop.spawn(stream(f"h{place}")).done for place in range(count)]:
        loop.run(until=done)
    hosts.close()
    sink.kill()
    sink.wait()
    tasks = sum(results.values())
    return {
        "tasks": tasks,
        "resets": results.get(Result.RESET, 0),
        "opened": hosts.opened,
        "opened_share": round(hosts.opened / tasks, 2),
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seconds", type=float, default=20)
    arguments.add_argument("--hosts", type=int, default=60)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for name, made, tells in (
        ("any rest", AnyRest, False),
        ("always new", AlwaysNew, False),
        ("half of what was seen", SeenOnly, False),
        ("gaproute: calm ones only", Pooling, False),
        ("gaproute, host tells its time", Pooling, True),
    ):
        rows.append({"way": name, **play(made(), told.hosts, told.seconds, tells)})
        print(rows[-1], flush=True)
    write(told.out, "kept_connections", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["listeners"]:
        listeners(int(sys.argv[2]), sys.argv[3] == "1", *map(int, sys.argv[4:]))
    else:
        main()
