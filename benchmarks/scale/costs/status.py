"""What an operator reads: the tables of a running gateway and its log lines, by hosts and functions."""

import io
from collections.abc import Callable

import msgspec

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds
from gaproute.appliance import Appliance
from gaproute.appliance.status import host_table, status, warm_instances
from gaproute.config import read_configuration
from gaproute.decisions.routing import Gateway
from gaproute.http1 import render
from gaproute.interface import Result
from gaproute.loop import Loop
from gaproute.telemetry.logs import logger

HOSTS = (16, 64, 256, 1_024)
FUNCTIONS = (16, 64, 256, 1_024)
FEW = 16  # hosts, where functions are varied
JSON = ((b"Content-Type", b"application/json"),)
CONFIGURATION = """
name gate
listen kserve 127.0.0.1:0
track std pure contract 1s limit 4s earnings 3
model lamp track std lanes 4
"""


Table = Callable[[Appliance], object]  # makes the content of an answer to the operator


class RunningGateway:
    """A gateway that got an answer of each of its hosts, and knows one copy of each function."""

    def __init__(self, hosts: int, functions: int = 0) -> None:
        lines = [f"host host-{number:04} 127.0.0.1:9001 capacity 4" for number in range(hosts)]
        configuration = read_configuration("status", CONFIGURATION + "\n".join(lines) + "\n")
        self.lines = io.StringIO()
        self.loop = Loop()
        self.gate = Appliance(configuration, self.loop, 1, logger(self.lines))
        self.gate.start()
        for number in range(hosts):
            self.gate.record.count_attempt_result(f"host-{number:04}", 0, Result.OK)
        gateway, now = self.gate.core.gateway, self.loop.now()
        assert isinstance(gateway, Gateway)
        for number in range(functions):
            gateway.hint_instance(f"host-{number % hosts:04}", f"model-{number:04}", 4, now)

    def body(self, table: Table) -> bytes:
        """The bytes of an answer with the table."""
        return render(200, JSON, msgspec.json.encode(table(self.gate)), close=False)

    def close(self) -> None:
        """Close the gateway."""
        self.gate.close()
        self.loop.close()


def answer_bytes(table: Table, hosts: int, functions: int = 0) -> int:
    """Bytes of the answer."""
    running = RunningGateway(hosts, functions)
    size = len(running.body(table))
    running.close()
    return size


def answer_cpu(table: Table, hosts: int, functions: int = 0) -> float:
    """Milliseconds of CPU of the answer."""
    running = RunningGateway(hosts, functions)
    spent = cpu_seconds(lambda: running.body(table))
    running.close()
    return spent * MS_PER_SECOND


def status_bytes(hosts: int, seed: int) -> float:
    """Bytes of /status."""
    return answer_bytes(status, hosts)


def status_cpu(hosts: int, seed: int) -> float:
    """Milliseconds of CPU of /status."""
    return answer_cpu(status, hosts)


def hosts_bytes(hosts: int, seed: int) -> float:
    """Bytes of /hosts."""
    return answer_bytes(host_table, hosts)


def knows_bytes(functions: int, seed: int) -> float:
    """Bytes of /knows."""
    return answer_bytes(warm_instances, FEW, functions)


def log_bytes(hosts: int, seed: int) -> float:
    """Bytes of the log's lines of a start."""
    running = RunningGateway(hosts)
    size = len(running.lines.getvalue())
    running.close()
    return size


ANSWERED = "each host answered once; HTTP head in, TCP's not"

MEASUREMENTS: Measurements = {
    **deferred("status-bytes-by-hosts", "bytes of /status", "bytes", "hosts", HOSTS, status_bytes, ANSWERED),
    **deferred(
        "status-cpu-by-hosts", "CPU of /status", "ms", "hosts", HOSTS, status_cpu, f"{ANSWERED}. {CPU_TIME}"
    ),
    **deferred(
        "hosts-table-bytes-by-hosts", "bytes of /hosts", "bytes", "hosts", HOSTS, hosts_bytes, ANSWERED
    ),
    **deferred(
        "knows-table-bytes-by-functions",
        "bytes of /knows",
        "bytes",
        "functions, a copy each",
        FUNCTIONS,
        knows_bytes,
        f"{FEW} hosts; {ANSWERED}",
    ),
    **deferred(
        "log-start-bytes-by-hosts",
        "bytes of the log's lines of a start",
        "bytes",
        "hosts",
        HOSTS,
        log_bytes,
        "one line a host and one of the start, as written; counted",
    ),
}
