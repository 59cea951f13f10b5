"""Probes and kept connections to hosts, on loopback: processor time, bytes, memory."""

import json
import subprocess
import sys

from benchmarks import kept_connections
from benchmarks.scale.deferred import deferred
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, cpu_seconds_once, retained_bytes
from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import render
from gaproute.interface import ListedHost, State
from gaproute.loop import Loop, Promise

SECOND = 1_000_000_000
SIZES = (64, 256, 1_024, 2_048)
TOGETHER = 16  # probes in flight at once
IDLE = 60 * SECOND  # after which the listener closes: longer than a play
WHERE = b"127.0.0.1:65535"


class ProbedHosts:
    """Hosts behind one listener, a process of its own, each with its own kept connection."""

    def __init__(self, count):
        command = [sys.executable, kept_connections.__file__, "listeners", "1", "0", str(IDLE)]
        self.listener = subprocess.Popen(command, stdout=subprocess.PIPE)
        (where,) = json.loads(self.listener.stdout.readline())
        self.loop, self.good = Loop(), 0
        self.hosts = KServeClient(self.loop, Pooling())
        self.names = [f"host-{number:04}" for number in range(count)]
        rows = [Endpoint(ListedHost(name, 0, 0, State.ACTIVE, 1.0, None), where) for name in self.names]
        self.hosts.update(rows, complete=True)

    def probe_all(self):
        """Probes each host once, a few at a time."""
        for first in range(0, len(self.names), TOGETHER):
            names, ended = self.names[first : first + TOGETHER], Promise()
            left = [len(names)]

            def done(good, report, left=left, ended=ended):
                self.good += good
                left[0] -= 1
                if not left[0]:
                    ended.set(None)

            for name in names:
                self.hosts.probe(name, done)
            self.loop.run(until=ended)

    def close(self):
        """Ends connections and listener."""
        self.hosts.close()
        self.loop.close()
        self.listener.kill()
        self.listener.wait()
        self.listener.stdout.close()


def new_connections_cpu(count, seed):
    """Milliseconds of CPU of a first probe of each."""
    probed = ProbedHosts(count)
    spent = cpu_seconds_once(probed.probe_all)
    opened, good = probed.hosts.opened, probed.good
    probed.close()
    assert (opened, good) == (count, count), (opened, good)
    return spent * MS_PER_SECOND


def kept_connections_cpu(count, seed):
    """Milliseconds of CPU of a second probe of each."""
    probed = ProbedHosts(count)
    probed.probe_all()
    spent = cpu_seconds_once(probed.probe_all)
    reused, good = probed.hosts.reused, probed.good
    probed.close()
    assert (reused, good) == (count, 2 * count), (reused, good)
    return spent * MS_PER_SECOND


def memory(count, seed):
    """Bytes that hosts and their kept connections hold."""
    probed = []

    def build():
        probed.append(ProbedHosts(count))
        probed[0].probe_all()

    held = retained_bytes(build)
    assert probed[0].good == count
    probed[0].close()
    return held


def probe_bytes(count, seed):
    """Bytes of a probe of each and its answer."""
    return count * (len(messages.encode_ready(WHERE)) + len(render(200, (), b"{}", close=False)))


LOOPBACK = "one listener in a process of its own, on loopback"

MEASUREMENTS = {
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
        kept_connections_cpu,
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
