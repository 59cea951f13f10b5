"""What the harness's link emulator costs: CPU a message and a connection, and the time that it adds, with
faults and without.

    python benchmarks/wire.py [--held 5000] [--pairs 24000] [--messages 20000] [--out docs/measured]

One emulator process; its CPU is read from the kernel's account, counting both directions of each exchange as
two messages. The far end answers from another process. An emulator that did not hold the connections, lost a
message or ran late shows it in its own row.
"""

from __future__ import annotations

import argparse
import itertools
import resource
import select
import socket
import sys
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import table, write
from benchmarks.wire_processes import DATAGRAM_SIZE, FIRST_HOST, HOSTS, LOCAL, MeasuredLink, echo
from gaproute.cluster.addresses import link_address
from gaproute.loop.descriptors import READ

MESSAGE = b"x" * 200
IDLE_SECONDS = 3  # of rest that are measured
AT_ONCE = 64  # connections that exchange at the same time
MESSAGES_OVER_HELD = 10_000  # exchanges over some of the held connections
POLL_TIMEOUT = 5  # seconds without an answer after which messages count as lost
FAULTS: dict[str, Mapping[str, Any] | None] = {
    "none": None,
    "elsewhere": {"kind": "cut", "from": ["h0"], "to": ["h1"]},
    "lose nothing": {"kind": "lose", "share": 0.0},
    "delay 5 ms": {"kind": "delay", "delay_ms": 5},
}

Row = dict[str, Any]
Send = Callable[[socket.socket], object]


def make_row(link: MeasuredLink, part: str, count: int, spans: list[int], ends: int) -> Row:
    """A row of the table. `spans`: ns of each exchange; `ends`: connections or pairs that took part."""
    counts, spent = link.counts(), link.cpu_spent()
    spans = sorted(spans)
    return {
        "part": part,
        "count": count,
        "cpu_us": round(spent / count * 1e6, 1),
        "median_us": round(spans[len(spans) // 2] / 1e3) if spans else "",
        "p99_us": round(spans[len(spans) * 99 // 100] / 1e3) if spans else "",
        "late_ms": round(counts["late_ns"] / 1e6, 1),
        "held": counts["connections"],
        "lost": counts["overrun"] + counts["unsent"] + counts["spilt"],
        "ends": ends,
        "wrong": len(counts["errors"]) + len(counts["breaches"]),
    }


def exchange(socks: Sequence[socket.socket], count: int, send: Send) -> list[int]:
    """The spans of `count` exchanges, ns; each socket has one message under way.

    There are fewer where messages were lost: the row's count shows it.
    """
    poll, spans = select.epoll(), list[int]()
    by_descriptor: dict[int, socket.socket] = {}
    began: dict[int, int] = {}
    for sock in socks:
        by_descriptor[sock.fileno()] = sock
        poll.register(sock.fileno(), READ)
        began[sock.fileno()] = time.perf_counter_ns()
        send(sock)
    while len(spans) < count:
        ready = poll.poll(POLL_TIMEOUT)
        if not ready:
            break
        for fd, _ in ready:
            if len(by_descriptor[fd].recv(DATAGRAM_SIZE)) == len(MESSAGE):
                now = time.perf_counter_ns()
                spans.append(now - began[fd])
                began[fd] = now
                send(by_descriptor[fd])
    poll.close()
    return spans


def send_message(sock: socket.socket) -> int:
    """Send one message on a connection."""
    return sock.send(MESSAGE)


def address_of_pair(link: MeasuredLink, number: int) -> tuple[str, int]:
    """Where the emulator listens for the `number`th pair of a caller and a host."""
    return link_address(link.callers[number % len(link.callers)], FIRST_HOST + number % HOSTS), link.port


def measure_streams(link: MeasuredLink, part: str, count: int, *, direct: bool = False) -> Row:
    """Messages over connections, through the emulator or directly to the far end."""
    host, port = link.tcp_address.split(":")
    targets = [(host, int(port)) if direct else address_of_pair(link, number) for number in range(AT_ONCE)]
    socks = [socket.create_connection(target) for target in targets]
    link.reset_counts()
    spans = exchange(socks, count, send_message)
    row = make_row(link, part, 2 * len(spans), spans, AT_ONCE)
    for sock in socks:
        sock.close()
    return row


def measure_datagrams(link: MeasuredLink, part: str, count: int, pairs: int) -> Row:
    """Datagrams between `pairs` pairs: one under way from each socket, to another pair every time.

    Answers come back through the emulator, by the address that the far end saw.
    """
    at_once = min(AT_ONCE, len(link.callers))
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(at_once)]
    targets: dict[socket.socket, Iterator[tuple[str, int]]] = {}
    for number, sock in enumerate(socks):
        sock.bind((LOCAL, 0))
        callers = link.callers[number::at_once][: pairs // HOSTS // at_once + 1]
        targets[sock] = itertools.cycle(
            [
                (link_address(caller, FIRST_HOST + host), link.port)
                for caller in callers
                for host in range(HOSTS)
            ]
        )
    _place_callers(link, socks)
    link.reset_counts()
    spans = exchange(socks, count, lambda sock: sock.sendto(MESSAGE, next(targets[sock])))
    row = make_row(link, part, 2 * len(spans), spans, min(pairs, count))
    for sock in socks:
        sock.close()
    return row


def _place_callers(link: MeasuredLink, socks: Sequence[socket.socket]) -> None:
    """Inform the emulator by which socket each caller sends."""
    addresses = ["{}:{}".format(*sock.getsockname()) for sock in socks]
    slots = {
        caller: {"name": f"g{caller}", "kind": "gateway", "udp": addresses[number % len(socks)]}
        for number, caller in enumerate(link.callers)
    }
    link.send_order({"seat": slots})


def measure_held(link: MeasuredLink, part: str, count: int) -> Iterator[Row]:
    """Connections opened one after the other and held; then messages over some of them, and rest."""
    link.reset_counts()
    socks, spans = [], []
    for number in range(count):
        began = time.perf_counter_ns()
        socks.append(socket.create_connection(address_of_pair(link, number)))
        socks[-1].send(MESSAGE)
        socks[-1].recv(DATAGRAM_SIZE)  # the far end is there
        spans.append(time.perf_counter_ns() - began)
    yield make_row(link, f"{part}: opening, with one exchange", count, spans, count)
    spans = exchange(socks[:AT_ONCE], MESSAGES_OVER_HELD, send_message)
    yield make_row(link, f"{part}: messages over {AT_ONCE} of them", 2 * MESSAGES_OVER_HELD, spans, count)
    time.sleep(IDLE_SECONDS)
    yield make_row(link, f"{part}: a second of rest", IDLE_SECONDS, [], count)
    print(f"wire's memory with {count} connections: {link.memory_kilobytes() / 1024:.0f} MB")
    for sock in socks:
        sock.close()


def measure(link: MeasuredLink, *, messages: int, pairs: int, held: int) -> list[Row]:
    """All rows of the table."""
    rows = [measure_streams(link, "streams without the wire", messages, direct=True)]
    for name, fault in FAULTS.items():
        if fault:
            link.begin_fault(fault)
        rows.append(measure_streams(link, f"streams, fault: {name}", messages))
        rows.append(measure_datagrams(link, f"datagrams, fault: {name}", messages, AT_ONCE))
        if fault:
            link.end_fault()
    rows.append(measure_datagrams(link, f"datagrams over {pairs} pairs", max(messages, pairs), pairs))
    rows += measure_held(link, f"{held} held", held)
    return rows


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--held", type=int, default=5000)
    options.add_argument("--pairs", type=int, default=24_000)
    options.add_argument("--messages", type=int, default=20_000, help="exchanges in a row")
    options.add_argument("--out")
    options.add_argument("--echo", action="store_true", help=argparse.SUPPRESS)
    arguments = options.parse_args()
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    if arguments.echo:
        echo()
        return
    with MeasuredLink(max(1, arguments.pairs // HOSTS)) as link:
        rows = measure(link, messages=arguments.messages, pairs=arguments.pairs, held=arguments.held)
    print(table(rows))
    if arguments.out:
        write(arguments.out, "wire", rows)


if __name__ == "__main__":
    main()
