"""The adapter's loop: one reply for each batch, nothing else on standard output."""

import sys
import traceback

from gaproute import interface as face
from gaproute.benchlink import wire
from gaproute.benchlink.drive import Instance
from gaproute.decisions.routing import Gateway


class Hub:
    """All instances of this process; they share no knowledge, only the wire and its numbered lists."""

    def __init__(self, make=Gateway):
        self.make = make
        self.instances = {}
        self.lists = {}
        self.filling = None  # list number and rows still to come
        self.now = 0
        self.number = "0"
        self.current = None
        self.failed = {}
        self.alarms = []  # (instance number, tag) of this batch: woken last, when all that came in is booked

    def line(self, text):
        """Handle one line; the reply's lines when it closes a batch, else None."""
        name, fields = wire.split(text)
        if self.filling and name != "M":
            raise wire.WireFault(f"{self.filling[1]} list rows missing")
        match name:
            case "SYNC":
                self.now, self.number, self.current = wire.nanos(fields[0]), fields[1], None
            case "OVER_TO_YOU":
                return self.reply()
            case "ALARM" if self.current is not None:
                self.alarms.append((self.current, fields))
            case "FOR":
                self.current = int(fields[0])
            case "LIST":
                rows = int(fields[1])
                self.lists[fields[0]] = []
                self.filling = (fields[0], rows) if rows else None
            case "M":
                if not self.filling:
                    raise wire.WireFault("list row outside a list")
                number, rows = self.filling
                self.lists[number].append(wire.listed(fields))
                self.filling = (number, rows - 1) if rows > 1 else None
            case _:
                if self.current is None:
                    raise wire.WireFault(f"{name} before any FOR")
                self.event(name, fields)
        return None

    def event(self, name, fields):
        number, now = self.current, self.now
        try:
            if name == "OPEN_INSTANCE":
                self.instances[number] = Instance(
                    self.make, wire.whole(fields[0]), wire.terms(fields[1]), now
                )
            elif name == "CRASH_NOW":
                self.instances.pop(number, None)
                self.alarms = [alarm for alarm in self.alarms if alarm[0] != number]
            elif (instance := self.instances.get(number)) is not None:
                self.tell(instance, name, fields, now)
        except wire.WireFault:
            raise
        except Exception as fault:
            place = traceback.extract_tb(fault.__traceback__)[-1]
            text = f"{type(fault).__name__}: {fault} at {place.name}, line {place.lineno}"
            self.failed[number] = text.replace("\n", " ")

    def tell(self, instance, name, fields, now):
        gateway = instance.gateway
        match name:
            case "CALL":
                instance.take(now, wire.task(fields))
            case "REPLY":
                if (outcome := wire.outcome(fields, instance.counts)) is not None:
                    instance.outcome(now, outcome)
            case "ACCEPTED":
                instance.resume(
                    fields[0],
                    now,
                    face.Outcome(
                        fields[0],
                        wire.whole(fields[3]),
                        fields[1],
                        face.Result.STREAM_STARTED,
                        wire.nanos(fields[2]) or 0,
                        False,
                        face.Found.UNKNOWN,
                        None,
                        None,
                    ),
                )
            case "GONE":
                instance.departed(now, fields[0])
            case "ALARM":
                instance.alarm(now, fields[0])
            case "TARGETS":
                if fields[1] == "refused":
                    gateway.list_refused(now)
                elif fields[1] in ("changes", "all", "remembered"):
                    if fields[2] not in self.lists:
                        raise wire.WireFault(f"no list {fields[2]}")
                    gateway.listed(now, self.lists[fields[2]], fields[1] != "changes")
                instance.begin_housekeeping(now)
            case "HEALTH_RESULT":
                instance.probed(now, fields[0], fields[2] == "0", wire.report(fields[3]))
            case "PEER_DATA":
                gateway.told(now, wire.data(fields[1]))
            case "STANDS":
                gateway.stood(now, fields[0], fields[1], wire.RESULTS.get(fields[2]), wire.whole(fields[4]))

    def reply(self):
        for number, fields in self.alarms:
            self.current = number
            self.event("ALARM", fields)
        self.alarms = []
        lines = []
        for number, instance in self.instances.items():
            if instance.lines:
                lines.append(f"SOURCE {number}")
                lines += instance.lines
                instance.lines = []
        for number, text in self.failed.items():
            lines += [f"SOURCE {number}", f"INTERNAL_ERROR {text}"]
        self.failed = {}
        lines.append(f"NEXT {self.number}")
        return lines


def main(source=sys.stdin, sink=sys.stdout):
    hub = Hub()
    for count, raw in enumerate(source, 1):
        text = raw.rstrip("\n")
        if not text:
            continue
        try:
            lines = hub.line(text)
        except (wire.WireFault, ValueError, KeyError, IndexError) as fault:
            print(f"benchlink: line {count}: {fault}: {text[:200]}", file=sys.stderr)
            return 2
        if lines is not None:
            sink.write("\n".join(lines) + "\n")
            sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
