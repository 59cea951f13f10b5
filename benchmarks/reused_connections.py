"""How often a host closes an idle connection just as a request goes out on it, for each way to choose
connections.

    python benchmarks/reused_connections.py [--seconds 20] [--hosts 60] [--out docs/measured]

The hosts are healthy listeners of one process that close a connection after 1 s at rest. To each goes a
non-idempotent request every 1 s, give or take 4 ms: the worst spacing there is. Each request that ends in a
reset would fail. The last row's host says `Keep-Alive: timeout=1`, as many do.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from collections.abc import Generator
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.host_processes import HostsProcess, serve_hosts
from benchmarks.rows import write
from gaproute.decisions.connections.pooling import MAX_IDLE_TIME, ConnectionReusePolicy
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import Limits, Request
from gaproute.interface import Idempotency, ListedHost, ListedHostState, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop, Promise

COMMAND = Path(__file__).resolve()
MILLI, SECOND = 1_000_000, 1_000_000_000
IDLE_TIME = SECOND  # after which a host closes a connection
INTERVAL, JITTER = SECOND, 4 * MILLI  # between two requests to a host
SEED = 1
NO_DEADLINE = 1 << 62
KEEP_ALIVE = (b"Keep-Alive", b"timeout=1")

Row = dict[str, Any]


class AnyIdleTime(ConnectionReusePolicy):
    """The common way: an idle connection is used as long as it looks open."""

    def max_idle_time(
        self, now: int, host: str, idempotency: Idempotency, announced_idle_time: int | None
    ) -> int:
        """See `ConnectionReusePolicy`."""
        return MAX_IDLE_TIME


class AlwaysNew(ConnectionReusePolicy):
    """A new connection for every non-idempotent request."""

    def max_idle_time(
        self, now: int, host: str, idempotency: Idempotency, announced_idle_time: int | None
    ) -> int:
        """See `ConnectionReusePolicy`."""
        return MAX_IDLE_TIME if idempotency is Idempotency.IDEMPOTENT else -1


class ObservedOnly(ConnectionReusePolicy):
    """Half the shortest rest after which the host was seen to close one, and nothing known beforehand."""

    def max_idle_time(
        self, now: int, host: str, idempotency: Idempotency, announced_idle_time: int | None
    ) -> int:
        """See `ConnectionReusePolicy`."""
        return super().max_idle_time(now, host, Idempotency.IDEMPOTENT, announced_idle_time)


class Way(NamedTuple):
    """A way to choose connections, and whether hosts say when they close them."""

    name: str
    pooling: type[ConnectionReusePolicy]
    announced: bool


WAYS = (
    Way("any rest", AnyIdleTime, False),
    Way("always new", AlwaysNew, False),
    Way("half of what was seen", ObservedOnly, False),
    Way("gaproute: calm ones only", ConnectionReusePolicy, False),
    Way("gaproute, host tells its time", ConnectionReusePolicy, True),
)


def serve_closing_hosts(count: int, idle_time: int, *, announced: bool) -> None:
    """A process with hosts that close idle connections after `idle_time` ns, and say so where `announced`."""
    headers = (KEEP_ALIVE,) if announced else ()

    def answer(request: Request) -> None:
        request.connection.answer(request, 200, headers, b"{}")

    serve_hosts(count, answer, Limits(idle_timeout=idle_time))


def start_hosts(count: int, *, announced: bool, idle_time: int = IDLE_TIME) -> HostsProcess:
    """So many hosts in a process of their own, as of `serve_closing_hosts`."""
    return HostsProcess(COMMAND, "listeners", count, int(announced), idle_time)


class Play:
    """Requests to each host, one after the other, on the connections that `pooling` chooses."""

    def __init__(
        self, pooling: ConnectionReusePolicy, addresses: list[str], idempotency: Idempotency
    ) -> None:
        self._loop, self._random = Loop(), random.Random(SEED)
        self._idempotency = idempotency
        self.results: Counter[Result] = Counter()
        self._names = [f"h{number}" for number in range(len(addresses))]
        self.client = KServeClient(self._loop, pooling)
        endpoints = [
            Endpoint(ListedHost(name, 0, 0, ListedHostState.ACTIVE, 1.0, None), where)
            for name, where in zip(self._names, addresses, strict=True)
        ]
        self.client.update(endpoints, complete=True)

    def run(self, seconds: float) -> None:
        """Send requests for a time."""
        ends_at = self._loop.now() + round(seconds * SECOND)
        for done in [self._loop.spawn(self._send_requests(name, ends_at)).done for name in self._names]:
            self._loop.run(until=done)
        self.client.close()

    def _send_requests(self, host: str, ends_at: int) -> Generator[Promise, Any, None]:
        call = Call("m", "", (), b"{}")
        yield self._loop.sleep(round(self._random.random() * SECOND))
        while self._loop.now() < ends_at:
            answered = Promise()
            self.client.send(host, call, self._idempotency, "t", 0, NO_DEADLINE, answered.set)
            outcome = yield answered
            self.results[outcome.result] += 1
            jitter = round(self._random.uniform(-JITTER // MILLI, JITTER // MILLI) * MILLI)
            yield self._loop.sleep(INTERVAL + jitter)


def play(
    pooling: ConnectionReusePolicy,
    count: int,
    seconds: float,
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
    *,
    announced: bool = False,
) -> Row:
    """The counts of one play before so many hosts."""
    with start_hosts(count, announced=announced) as hosts:
        played = Play(pooling, hosts.addresses, idempotency)
        played.run(seconds)
    requests, opened = played.results.total(), played.client.connections_opened
    return {
        "tasks": requests,
        "resets": played.results[Result.RESET],
        "opened": opened,
        "opened_share": round(opened / requests, 2),
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--seconds", type=float, default=20)
    options.add_argument("--hosts", type=int, default=60)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows: list[Row] = []
    for way in WAYS:
        counts = play(way.pooling(), arguments.hosts, arguments.seconds, announced=way.announced)
        rows.append({"way": way.name, **counts})
        print(rows[-1], flush=True)
    write(arguments.out, "reused_connections", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["listeners"]:
        serve_closing_hosts(int(sys.argv[2]), int(sys.argv[4]), announced=sys.argv[3] == "1")
    else:
        main()
