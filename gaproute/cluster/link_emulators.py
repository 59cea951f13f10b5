"""The wire's processes, as the parent drives them: seats, faults, and what they say of themselves."""

import json
import os

from gaproute.cluster import slot_sets
from gaproute.loop.descriptors import HANGUP, READ
from gaproute.scenarios.processes import MILLI, SECOND, NotReadyError

ANSWER = 5 * SECOND  # for a wire to say its counts: one that takes longer ran late anyway
AFTER = 500 * MILLI  # after a cut, until all that it kept has flown on


class LinkEmulators:
    """`count` processes behind the same ports; each line goes to all of them."""

    def __init__(self, loop, processes, table, seed):
        self.loop, self.processes, self.table, self.seed = loop, processes, table, seed
        self.wires, self.told, self.errors, self.numbers = [], [], [], 0

    def start(self, count, seats):
        """A coroutine: until all serve. `seats`: as their first line has them."""
        for place in range(count):
            told = {
                "tcp": self.table.port,
                "udp": self.table.port,
                "seats": seats,
                "seed": self.seed,
                "tap": None,
            }
            wire = self.processes.start(["gaproute.cluster.links"], told, f"wire-{place}.err")
            self.wires.append(wire)
            self.told.append([])
        for wire, told in zip(self.wires, self.told, strict=True):
            answer = yield self.processes.first_line(wire, "a wire")
            if not answer.get("ready"):
                raise NotReadyError(f"a wire did not start: {answer}")
            self.listen(wire, told)

    def listen(self, wire, told):
        """What it says from now on is kept; what it could not follow is an error of the harness."""
        fd, rest = wire.child.stdout.fileno(), bytearray()

        def heard(events):
            data = os.read(fd, 1 << 16) if events & (READ | HANGUP) else b""
            rest.extend(data)
            *lines, last = bytes(rest).split(b"\n")
            rest[:] = last
            for line in lines:
                answer = json.loads(line)
                if "error" in answer:
                    self.errors.append(answer["error"])
                else:
                    told.append(answer)
            if not data:
                self.loop.unwatch(fd)

        self.loop.watch(fd, READ, heard)

    def say(self, line):
        for wire in self.wires:
            wire.send(line)

    def counts(self):
        """A coroutine: what each says now, in their order; None for one that says nothing in time."""
        before = [len(told) for told in self.told]
        self.say({"say": True})
        end = self.loop.now() + ANSWER
        while (
            any(len(told) == had for told, had in zip(self.told, before, strict=True))
            and self.loop.now() < end
        ):
            yield self.loop.sleep(10 * MILLI)
        return [told[-1] if len(told) > had else None for told, had in zip(self.told, before, strict=True)]

    def fault(self, harness, line, random):
        """A coroutine: one `fault` line from its time to its end."""
        yield self.loop.sleep(line.at)
        ends = [self.ends(harness, text, random) for text in (line.source, line.to)]
        on = {
            "kind": line.kind,
            "from": ends[0][0],
            "to": ends[1][0],
            "both": line.both,
            "what": line.what,
            "share": line.share,
            "delay_ms": line.delay / MILLI,
            "jitter_ms": line.jitter / MILLI,
            "bytes_per_s": line.bytes,
        }
        self.numbers += 1
        name = f"f{self.numbers}"
        harness.report(f"{line.at / SECOND:5.1f} s  {line.kind} on the wire")
        self.say({"fault": name, "on": on})
        span, slack = late(line)
        note = {"id": name, "kind": line.kind, "late": span, "slack": slack}
        if line.what != "datagrams":
            note |= ways(line, ends[0][1], ends[1][1])
        harness.tap.note("fault", on=True, **note)
        yield self.loop.sleep(line.lasts)
        self.say({"fault": name, "off": True})
        harness.tap.note("fault", on=False, **note)

    def ends(self, harness, text, random):
        """(words for the wire, names of seats now). Words that the wire knows cover hosts that come later."""
        parts, seats = slot_sets.parse(text), harness.table.all(harness.hosts.by_name.values())
        names = slot_sets.names(parts, seats, random)
        if any(part.no or part.share < 1 for part in parts):
            return names, names
        return [word for part in parts for word in harness.table.words(part.what, seats)], names


def late(line):
    """(by how much bytes may be late under a fault, how long after its end): ns, for the judge. What is kept
    back may be as old as the fault."""
    if line.kind in ("cut", "hold") or line.bytes:
        return line.lasts + AFTER, AFTER
    tries = next((tries for tries in range(1, 7) if line.share**tries < 1e-6), 6)
    span = 200 * MILLI * ((1 << tries) - 1) if line.kind == "lose" else line.delay + line.jitter
    return span, span


def ways(line, source, to):
    """Which gateways' bytes may reach which hosts late: [[gateways' numbers], [hosts]] for each way.

    A cut or a hold keeps a new connection waiting whichever way it lies; other faults lie on the way that
    they name.
    """

    def way(ours, theirs):
        return [
            [int(name[1:]) for name in ours if name.startswith("g")],
            [name for name in theirs if name.startswith("mh")],
        ]

    if line.kind in ("double", "reorder", "reset"):
        return {}
    both = line.both or line.kind in ("cut", "hold")
    return {"ways": [way(source, to)] + [way(to, source)] * both}
