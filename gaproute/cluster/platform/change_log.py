"""The change log of a platform cluster: one process that tells each gateway the addresses by which it alone
finds the hosts. Has the interface of `gaproute.cluster.host_lists.GatewayHostLists`; its faults are the log's
own."""

from gaproute.cluster.host_lists import GATHER
from gaproute.standins.platform.host_list import VersionedHostList, member


class PlatformChangeLog:
    def __init__(self, harness):
        self.harness, self.loop, self.table, self.hosts = harness, harness.loop, harness.table, harness.hosts
        self.delay, self.asked, self.told = 0, False, {}
        self.listing, self.process = VersionedHostList(), None

    def furnish(self):
        """A coroutine: the log's process, which listens for each gateway apart."""
        gateways = range(self.table.day.gateways)
        self.process = self.harness.processes.start_stand_in(
            "platform-log",
            "log",
            {"gateways": ["127.0.0.1:0"] * len(gateways), "tap": str(self.harness.out / "log.tap")},
        )
        self.table.ways = (yield self.harness.processes.first_line(self.process, "the change log"))[
            "addresses"
        ]

    def row(self, seat):
        """As the log's event has it, with an address for each gateway; None before it was ever up."""
        if seat.process is None:
            return None
        where = [self.table.host(number, seat) for number in range(self.table.day.gateways)]
        state = "gone" if seat.state == "absent" else seat.state
        return member(
            seat.name,
            where,
            state,
            seat.zone,
            seat.number % self.table.day.racks,
            seat.kind.cores * seat.kind.speed,
            seat.started // 1_000_000 if seat.started else 0,
        )

    def known(self, number):
        """What a gateway that starts now is told in its file."""
        told = self.listing.snapshot()
        for whole in told["results"]:
            whole["fleet"]["members"] = [
                row | {"host_port": row["host_port"][number]} for row in whole["fleet"]["members"]
            ]
        return told

    def first(self):
        self.write()

    def publish(self):
        if not self.asked:
            self.asked = True
            self.loop.after(GATHER, self.write)

    def write(self):
        """What has changed since, as one event."""
        self.asked = False
        fresh = []
        for seat in self.hosts.by_name.values():
            row = self.row(seat)
            before = self.told.get(seat.name)
            if row is not None and row != before and (before is not None or row["phase"] != "Gone"):
                self.told[seat.name] = row
                fresh.append(row)
        if fresh:
            self.process.send(self.listing.change(*fresh))

    def publish_state(self, seat, state, delay):
        """A coroutine: the log tells of the seat after the delay, later still while the list is late."""
        yield self.loop.sleep(delay + self.delay)
        seat.state = state
        self.publish()

    def cut(self, line):
        """A coroutine: beside a `fault` that keeps back what the log tells gateways, the log is told whom.
        Both draw the same ends, by the line's own chance."""
        random, names = self.harness.chance(line), []
        yield self.loop.sleep(line.at)
        ends = [
            set(self.harness.wires.ends(self.harness, text, random)[1]) for text in (line.source, line.to)
        ]
        for number in range(self.table.day.gateways):
            ours, theirs = f"g{number}", f"l{number}"
            if any(ours in one and theirs in other for one, other in (ends, ends[::-1])):
                names.append(number)
        if not names or line.what == "datagrams":
            return
        self.process.send({"trouble": "elsewhere", "gateways": names})
        yield self.loop.sleep(line.lasts)
        self.process.send({"trouble": "elsewhere", "gateways": names, "on": False})

    def strike(self, line, numbers):
        """A coroutine: a `list` line; deaf gateways' ways are silent, which counts as told after 4 s."""
        yield self.loop.sleep(line.at)
        told = {"trouble": "late", "by": line.back} if line.kind == "late" else {"trouble": "silent"}
        self.process.send(told | {"gateways": numbers})
        self.harness.tap.note("list", kind=line.kind, gateways=numbers, lasts=line.lasts)
        yield self.loop.sleep(line.lasts)
        self.process.send(told | {"gateways": numbers, "on": False})
