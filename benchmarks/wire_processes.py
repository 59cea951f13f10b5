"""The processes of `wire.py`: an echo server, and the link emulator before it that is measured."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.processor_time import cpu_seconds
from gaproute.loop import Listener, Loop, Stream
from gaproute.loop.datagrams import MAX_READS_PER_TURN
from gaproute.loop.descriptors import READ

ROOT = Path(__file__).resolve().parent.parent
FIRST_HOST, HOSTS = 16, 120  # slots of the link: hosts from FIRST_HOST on, callers behind them
DATAGRAM_SIZE = 2048  # bytes read at once
RECEIVE_BUFFER = 1 << 22  # bytes
END_TIMEOUT = 20  # seconds that a process may take to end
LOCAL = "127.0.0.1"


def echo() -> None:
    """A process that sends back all that it gets, by TCP and UDP, until standard input ends.

    It prints its two addresses.
    """
    loop = Loop()
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    udp.bind((LOCAL, 0))

    def send_back(events: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                udp.sendto(*udp.recvfrom(DATAGRAM_SIZE))
            except BlockingIOError:
                return

    tcp = Listener(loop, (socket.AF_INET, (LOCAL, 0)), lambda sock: EchoStream(loop, sock))
    loop.watch(udp.fileno(), READ, send_back)
    loop.watch(sys.stdin.fileno(), READ, lambda events: loop.stop())
    print(tcp.address, "{}:{}".format(*udp.getsockname()), flush=True)
    loop.run()


class EchoStream:
    """One connection whose bytes are sent back."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self._stream = Stream(loop, sock, self._send_back, lambda error: None)

    def _send_back(self, data: bytes) -> None:
        self._stream.write(data)


class MeasuredLink:
    """The echo server, a link emulator before it, and what the emulator has cost. A context manager.

    `callers`: the slots of those that send. `port`: where the emulator listens, by TCP and UDP.
    """

    def __init__(self, callers: int) -> None:
        self._echo = _start([str(ROOT / "benchmarks" / "wire.py"), "--echo"])
        self.tcp_address, self.udp_address = _read_line(self._echo).split()
        self.callers = range(FIRST_HOST + HOSTS, FIRST_HOST + HOSTS + callers)
        with socket.create_server((LOCAL, 0)) as free:
            self.port: int = free.getsockname()[1]
        self._emulator = _start(["-m", "gaproute.cluster.links"])
        self.send_order({"tcp": self.port, "udp": self.port, "seed": 1, "seats": self._slots()})
        _read_line(self._emulator)
        self._spent = self.cpu()

    def __enter__(self) -> MeasuredLink:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in (self._emulator, self._echo):
            assert process.stdin is not None
            assert process.stdout is not None
            process.stdin.close()
            process.wait(END_TIMEOUT)
            process.stdout.close()

    def _slots(self) -> dict[int, dict[str, str]]:
        hosts = {
            FIRST_HOST + number: {
                "name": f"h{number}",
                "kind": "host",
                "tcp": self.tcp_address,
                "udp": self.udp_address,
            }
            for number in range(HOSTS)
        }
        return hosts | {number: {"name": f"g{number}", "kind": "gateway"} for number in self.callers}

    def send_order(self, order: Mapping[str, Any]) -> None:
        """Give the emulator an order (see `gaproute/cluster/links/__main__.py`)."""
        assert self._emulator.stdin is not None
        self._emulator.stdin.write(json.dumps(order) + "\n")
        self._emulator.stdin.flush()

    def begin_fault(self, fault: Mapping[str, Any]) -> None:
        """Begin a fault of the network, the only one at a time."""
        self.send_order({"fault": "x", "on": fault})

    def end_fault(self) -> None:
        """End the fault."""
        self.send_order({"fault": "x", "off": True})

    def counts(self) -> dict[str, Any]:
        """What the emulator counted since it was last asked."""
        self.send_order({"say": True})
        counts: dict[str, Any] = json.loads(_read_line(self._emulator))
        return counts

    def cpu(self) -> float:
        """CPU time of the emulator, s."""
        return cpu_seconds(self._emulator.pid)

    def cpu_spent(self) -> float:
        """CPU time of the emulator since this was last called, s."""
        before, self._spent = self._spent, self.cpu()
        return self._spent - before

    def reset_counts(self) -> None:
        """Forget what was counted and spent so far."""
        self.counts()
        self.cpu_spent()

    def memory_kilobytes(self) -> int:
        """Resident memory of the emulator."""
        status = Path(f"/proc/{self._emulator.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


def _start(arguments: list[str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )


def _read_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline()
