"""`python -m gaproute.cluster.links`: told by lines of JSON on stdin, says lines of JSON on stdout; ends with
stdin.

First line: {"tcp": port, "udp": port, "seats": {"16": {"name": ..., "kind": "gateway|host|list", "zone":
..., "tcp": "127.0.0.1:7001", "udp": ..., "refuses": true where its process is down}, ...}, "seed": n,
"tap": "path"}; then it says {"ready": true}. Later lines: {"seat": {"17": {...}}}, {"fault": id, "on":
{...}} (see `faults.py`), {"fault": id, "off": true}, {"say": true}. Several may run at the same ports: the
kernel shares connections and senders of datagrams among them. A line that cannot be followed is answered
with {"error": text} and changes nothing; a first line like that ends it with 2.
"""

import gc
import json
import os
import resource
import socket
import sys

from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.datagrams import DatagramRelay
from gaproute.cluster.links.invariants import breaches
from gaproute.cluster.links.lateness import LinkLateness
from gaproute.cluster.links.streams import StreamRelays
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop
from gaproute.loop.descriptors import READ

BACKLOG = 4096  # connections that the kernel opens before the wire takes them


class LinkEmulator:
    """Everything of one wire process. Errors: OSError where the ports cannot be had; ValueError, KeyError."""

    def __init__(self, loop, told):
        self.loop, self.stale = loop, False
        self.weather = NetworkConditions(int(told.get("seed", 0)), Chance)
        self.weather.seated({int(number): seat for number, seat in told.get("seats", {}).items()})
        self.lateness = LinkLateness(loop)
        self.file = open(told["tap"], "ab", buffering=0) if told.get("tap") else None
        listening = bound(socket.SOCK_STREAM, told["tcp"])
        self.streams = StreamRelays(loop, self.weather, self.lateness, listening, self.tap)
        self.datagrams = DatagramRelay(
            loop, self.weather, self.lateness, bound(socket.SOCK_DGRAM, told["udp"])
        )

    def tap(self, what, a, b, size):
        """A line to the tap file; times are of the monotonic clock, which all on the machine share."""
        if self.file is not None:
            self.file.write(
                b'{"at":%d,"what":"%b","from":%d,"to":%d,"bytes":%d}\n'
                % (self.loop.now(), what.encode(), a, b, size)
            )

    def follow(self, line):
        """One line after the first; returns what to say to it, or None. Errors: ValueError."""
        said = json.loads(line)
        if "say" in said:
            return self.counts()
        if "seat" in said:
            self.weather.seated({int(number): seat for number, seat in said["seat"].items()})
        elif "on" in said:
            self.weather.begin(said["fault"], said["on"])
            self.streams.reset(said["fault"])
        elif "off" in said:
            self.weather.end(said["fault"])
        else:
            raise ValueError("no such line")
        if not self.stale:  # many lines at once, as when most seats move, cost one look at all
            self.stale = True
            self.loop.soon(self.settle)
        return None

    def settle(self):
        """All that is under way follows what was told."""
        if self.stale:
            self.stale = False
            self.streams.changed()
            self.datagrams.changed()

    def counts(self):
        """`late_ns`: since it was last asked; `late_most_ns`: ever."""
        streams, datagrams = self.streams, self.datagrams
        return {
            "bytes": streams.carried + sum(relay.carried for relay in streams.relays.values()),
            "pieces": streams.pieces,
            "connections": len(streams.relays),
            "opened": streams.opened,
            "refused": streams.refused + streams.refusals.count,
            "gate": len(streams.gate),
            "hanging": len(streams.hanging),
            "given_up": streams.given_up,
            "stray": streams.stray + datagrams.stray,
            "messages": datagrams.messages,
            "message_bytes": datagrams.carried,
            "overrun": datagrams.overrun,
            "unsent": datagrams.unsent,
            "spilt": datagrams.spilt,
            "kept": len(datagrams.kept),
            "weather": self.weather.counts,
            "late_ns": self.lateness.take(),
            "late_most_ns": self.lateness.ever,
            "errors": [repr(error) for error in self.loop.errors],
            "breaches": breaches(self),
        }

    def close(self):
        self.streams.close()
        self.datagrams.close()
        if self.file is not None:
            self.file.close()


def bound(kind, port):
    """A socket for all of 127/8, which only loopback reaches, shared with other wires. Errors: OSError."""
    sock = socket.socket(socket.AF_INET, kind | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
    sock.bind(("0.0.0.0", port))
    if kind == socket.SOCK_STREAM:
        sock.listen(BACKLOG)
    return sock


def say(answer):
    sys.stdout.write(json.dumps(answer) + "\n")
    sys.stdout.flush()


def main():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # two descriptors for each connection
    gc.disable()  # a full collection stops it for 25 ms at 4,000 connections; `streams.py` unties circles
    loop, wires, rest = Loop(), [], bytearray()

    def read(events):
        data = os.read(0, 1 << 20)
        if not data:
            loop.stop()
        rest.extend(data)
        while (end := rest.find(b"\n")) >= 0:
            line = bytes(rest[:end])
            del rest[: end + 1]
            if not wires:
                wires.append(LinkEmulator(loop, json.loads(line)))
                say({"ready": True})
                continue
            try:
                answer = wires[0].follow(line)
            except (ValueError, KeyError, TypeError, AttributeError) as fault:
                answer = {"error": f"{type(fault).__name__}: {fault}"}
            if answer is not None:
                say(answer)

    def failed(error):
        if not wires:
            say({"error": f"{type(error).__name__}: {error}"})
            sys.exit(2)
        print(f"{type(error).__name__}: {error}", file=sys.stderr, flush=True)

    loop.on_error = failed
    loop.watch(0, READ, read)
    loop.run()
    if wires:
        wires[0].close()


if __name__ == "__main__":
    main()
