"""What the harness's wire costs: CPU a message and a connection, and the time that it adds, with faults and
without.

    python benchmarks/wire.py [--held 5000] [--pairs 24000] [--messages 20000] [--out docs/measured]

One wire process; its CPU is read from the kernel's account, counting both directions of each exchange as
two messages. The far end answers from another process. A wire that held none of the connections, lost a
message or ran late says so in its own row.
"""

import argparse
import itertools
import json
import os
import resource
import select
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import table, write

from gaproute.cluster.addresses import link_address
from gaproute.loop import Listener, Loop, Stream
from gaproute.loop.datagrams import READS
from gaproute.loop.descriptors import READ

SECOND = 1_000_000_000
TICKS = os.sysconf("SC_CLK_TCK")
FIRST, HOSTS = 16, 120  # seats: hosts from FIRST on, callers behind them
SMALL = b"x" * 200  # bytes of a small message
IDLE = 3  # seconds of rest that are measured
AT_ONCE = 64  # connections that exchange at the same time
FAULTS = {
    "none": None,
    "elsewhere": {"kind": "cut", "from": ["h0"], "to": ["h1"]},
    "lose nothing": {"kind": "lose", "share": 0.0},
    "delay 5 ms": {"kind": "delay", "delay_ms": 5},
}


def echo():
    """A process that sends back all that it gets, by TCP and UDP; says its ports."""
    loop = Loop()
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
    udp.bind(("127.0.0.1", 0))

    def back(events):
        for _ in range(READS):
            try:
                udp.sendto(*udp.recvfrom(2048))
            except BlockingIOError:
                return

    def opened(sock):
        stream = Stream(loop, sock, lambda data: stream.write(data), lambda error: None)

    tcp = Listener(loop, (socket.AF_INET, ("127.0.0.1", 0)), opened)
    loop.watch(udp.fileno(), READ, back)
    loop.watch(0, READ, lambda events: loop.stop())  # stdin's end
    print(tcp.address, "{}:{}".format(*udp.getsockname()), flush=True)
    loop.run()


class Party:
    """The echo, a wire before it, and what the wire has cost since it was last asked."""

    def __init__(self, callers):
        self.echo = subprocess.Popen(
            [sys.executable, __file__, "--echo"], stdin=subprocess.PIPE, text=True, stdout=subprocess.PIPE
        )
        self.tcp, self.udp = self.echo.stdout.readline().split()
        seats = {
            FIRST + n: {"name": f"h{n}", "kind": "host", "tcp": self.tcp, "udp": self.udp}
            for n in range(HOSTS)
        }
        self.callers = range(FIRST + HOSTS, FIRST + HOSTS + callers)
        seats |= {n: {"name": f"g{n}", "kind": "gateway"} for n in self.callers}
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.wire = subprocess.Popen(
            [sys.executable, "-m", "gaproute.cluster.links"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=Path(__file__).resolve().parent.parent,
        )
        self.tell({"tcp": self.port, "udp": self.port, "seed": 1, "seats": seats})
        self.wire.stdout.readline()
        self.spent = self.cpu()

    def tell(self, line):
        self.wire.stdin.write(json.dumps(line) + "\n")
        self.wire.stdin.flush()

    def ask(self):
        self.tell({"say": True})
        return json.loads(self.wire.stdout.readline())

    def cpu(self):
        words = Path(f"/proc/{self.wire.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(words[11]) + int(words[12])) / TICKS

    def cost(self):
        spent, self.spent = self.spent, self.cpu()
        return self.spent - spent

    def close(self):
        for process in (self.wire, self.echo):
            process.stdin.close()
            process.wait(20)
            process.stdout.close()


def row(party, name, count, spans, called):
    said, spent = party.ask(), party.cost()
    spans.sort()
    lost = said["overrun"] + said["unsent"] + said["spilt"]
    return {
        "part": name,
        "count": count,
        "cpu_us": round(spent / count * 1e6, 1),
        "median_us": round(spans[len(spans) // 2] / 1e3) if spans else "",
        "p99_us": round(spans[len(spans) * 99 // 100] / 1e3) if spans else "",
        "late_ms": round(said["late_ns"] / 1e6, 1),
        "held": said["connections"],
        "lost": lost,
        "ends": called,
        "wrong": len(said["errors"]) + len(said["breaches"]),
    }


def exchanges(socks, count, send):
    """Each of `socks` has one message under way; the spans of `count` exchanges, ns."""
    poll, by, began, spans, size = select.epoll(), {}, {}, [], len(SMALL)
    for sock in socks:
        by[sock.fileno()] = sock
        poll.register(sock.fileno(), READ)
        began[sock.fileno()] = time.perf_counter_ns()
        send(sock)
    while len(spans) < count:
        ready = poll.poll(5)
        if not ready:
            break  # lost on the way: the row's count shows it
        for fd, _ in ready:
            if len(by[fd].recv(2048)) == size:
                now = time.perf_counter_ns()
                spans.append(now - began[fd])
                began[fd] = now
                send(by[fd])
    poll.close()
    return spans


def streams(party, name, count, direct=False):
    host, port = party.tcp.split(":")
    wired = [
        (link_address(party.callers[n % len(party.callers)], FIRST + n % HOSTS), party.port)
        for n in range(AT_ONCE)
    ]
    socks = [socket.create_connection((host, port) if direct else where) for where in wired]
    party.ask(), party.cost()
    spans = exchanges(socks, count, lambda sock: sock.send(SMALL))
    made = row(party, name, 2 * len(spans), spans, AT_ONCE)
    for sock in socks:
        sock.close()
    return made


def datagrams(party, name, count, pairs):
    """One message under way from each of AT_ONCE sockets, to another pair every time; answers come back
    through the wire by the address that the far end saw."""
    at_once = min(AT_ONCE, len(party.callers))
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(at_once)]
    turns = {}
    for n, sock in enumerate(socks):
        sock.bind(("127.0.0.1", 0))
        callers = party.callers[n::at_once][: pairs // HOSTS // at_once + 1]
        turns[sock] = itertools.cycle(
            [(link_address(a, FIRST + b), party.port) for a in callers for b in range(HOSTS)]
        )
    place = ["{}:{}".format(*sock.getsockname()) for sock in socks]
    party.tell(
        {
            "seat": {
                a: {"name": f"g{a}", "kind": "gateway", "udp": place[n % at_once]}
                for n, a in enumerate(party.callers)
            }
        }
    )
    party.ask(), party.cost()
    spans = exchanges(socks, count, lambda sock: sock.sendto(SMALL, next(turns[sock])))
    made = row(party, name, 2 * len(spans), spans, min(pairs, count))
    for sock in socks:
        sock.close()
    return made


def opened(party, name, count):
    """Connections opened one after the other and held; then messages over AT_ONCE of them."""
    party.ask(), party.cost()
    socks, spans = [], []
    for n in range(count):
        began = time.perf_counter_ns()
        where = link_address(party.callers[n % len(party.callers)], FIRST + n % HOSTS)
        socks.append(socket.create_connection((where, party.port)))
        socks[-1].send(SMALL)
        socks[-1].recv(2048)  # the far end is there
        spans.append(time.perf_counter_ns() - began)
    yield row(party, f"{name}: opening, with one exchange", count, spans, count)
    yield row(
        party,
        f"{name}: messages over {AT_ONCE} of them",
        2 * 10_000,
        exchanges(socks[:AT_ONCE], 10_000, lambda sock: sock.send(SMALL)),
        count,
    )
    time.sleep(IDLE)
    yield row(party, f"{name}: a second of rest", IDLE, [], count)
    words = Path(f"/proc/{party.wire.pid}/status").read_text().split("VmRSS:")[1].split()
    print(f"wire's memory with {count} connections: {int(words[0]) / 1024:.0f} MB")
    for sock in socks:
        sock.close()


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--held", type=int, default=5000)
    words.add_argument("--pairs", type=int, default=24_000)
    words.add_argument("--messages", type=int, default=20_000, help="exchanges in a row")
    words.add_argument("--out")
    words.add_argument("--echo", action="store_true", help=argparse.SUPPRESS)
    said = words.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if said.echo:
        echo()
        return
    party, rows = Party(max(1, said.pairs // HOSTS)), []
    try:
        rows.append(streams(party, "streams without the wire", said.messages, direct=True))
        for name, fault in FAULTS.items():
            if fault:
                party.tell({"fault": "x", "on": fault})
            rows.append(streams(party, f"streams, fault: {name}", said.messages))
            rows.append(datagrams(party, f"datagrams, fault: {name}", said.messages, AT_ONCE))
            if fault:
                party.tell({"fault": "x", "off": True})
        rows.append(
            datagrams(party, f"datagrams over {said.pairs} pairs", max(said.messages, said.pairs), said.pairs)
        )
        rows += opened(party, f"{said.held} held", said.held)
    finally:
        party.close()
    print(table(rows))
    if said.out:
        write(said.out, "wire", rows)


if __name__ == "__main__":
    main()
