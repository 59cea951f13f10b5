"""Health checks and pooled connections to hosts, on loopback: processor time, bytes, memory."""

from benchmarks import reused_connections
from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, cpu_seconds_once, retained_bytes
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import render
from gaproute.interface import HostLoadReport, ListedHost, ListedHostState
from gaproute.loop import Loop, Promise

SECOND = 1_000_000_000
SIZES = (64, 256, 1_024, 2_048)
TOGETHER = 16  # probes in flight at once
IDLE = 60 * SECOND  # after which the listener closes: longer than a play
WHERE = b"127.0.0.1:65535"


class ProbedHosts:
    """Hosts behind one listener, a process of its own, each with a pooled connection of its own."""

    def __init__(self, count: int) -> None:
        self.listener = reused_connections.start_hosts(1, announced=False, idle_time=IDLE)
        (where,) = self.listener.addresses
        self.loop = Loop()
        self.ready = 0  # probes that found their host ready
        self.waiting, self.ended = 0, Promise()  # probes in flight, and what is set once none is
        self.hosts = KServeClient(self.loop, ConnectionReusePolicy())
        self.names = [f"host-{number:04}" for number in range(count)]
        rows = [
            Endpoint(ListedHost(name, 0, 0, ListedHostState.ACTIVE, 1.0, None), where) for name in self.names
        ]
        self.hosts.update(rows, complete=True)

    def probe_all(self) -> None:
        """Probe each host once, a few at a time."""
        for first in range(0, len(self.names), TOGETHER):
            names = self.names[first : first + TOGETHER]
            self.waiting, self.ended = len(names), Promise()
            for name in names:
                self.hosts.probe(name, self._probe_ended)
            self.loop.run(until=self.ended)

    def _probe_ended(self, report: HostLoadReport | None, *, good: bool) -> None:
        self.ready += good
        self.waiting -= 1
        if not self.waiting:
            self.ended.set(None)

    def close(self) -> None:
        """Close the connections and end the listener."""
        self.hosts.close()
        self.loop.close()
        self.listener.close()


def new_connections_cpu(count: int, seed: int) -> float:
    """Milliseconds of CPU of a first probe of each host."""
    probed = ProbedHosts(count)
    spent = cpu_seconds_once(probed.probe_all)
    opened, ready = probed.hosts.connections_opened, probed.ready
    probed.close()
    assert (opened, ready) == (count, count), (opened, ready)
    return spent * MS_PER_SECOND


def pooled_connections_cpu(count: int, seed: int) -> float:
    """Milliseconds of CPU of a second probe of each host."""
    probed = ProbedHosts(count)
    probed.probe_all()
    spent = cpu_seconds_once(probed.probe_all)
    reused, ready = probed.hosts.connections_reused, probed.ready
    probed.close()
    assert (reused, ready) == (count, 2 * count), (reused, ready)
    return spent * MS_PER_SECOND


def memory(count: int, seed: int) -> float:
    """Bytes of the hosts and their pooled connections."""
    probed: list[ProbedHosts] = []

    def build() -> None:
        probed.append(ProbedHosts(count))
        probed[0].probe_all()

    size = retained_bytes(build)
    assert probed[0].ready == count
    probed[0].close()
    return size


def probe_bytes(count: int, seed: int) -> float:
    """Bytes of a probe of each host and its answer."""
    return count * (len(messages.encode_probe(WHERE)) + len(render(200, (), b"{}", close=False)))


LOOPBACK = "one listener in a process of its own, on loopback"

MEASUREMENTS: Measurements = {
    **deferred(
        "probe-new-connection-cpu-by-hosts",
        "CPU to probe each host once on a new connection, the handshake in it",
        "ms",
        "hosts",
        SIZES,
        new_connections_cpu,
        f"{LOOPBACK}. {CPU_TIME}",
    ),
    **deferred(
        "probe-cpu-by-hosts",
        "CPU to probe each host once on a kept connection",
        "ms",
        "hosts",
        SIZES,
        pooled_connections_cpu,
        f"{LOOPBACK}. {CPU_TIME}",
    ),
    **deferred(
        "kept-connection-memory-by-connections",
        "memory of hosts and one kept connection to each",
        "bytes",
        "connections",
        SIZES,
        memory,
        f"{LOOPBACK}. {TRACED}",
    ),
    **deferred(
        "probe-bytes-by-hosts",
        "bytes of a probe of each host and its answer, without a load report",
        "bytes",
        "hosts",
        SIZES,
        probe_bytes,
        "from the rendered messages, HTTP heads in, TCP's not",
    ),
}
