"""Plays a cluster script with the platform's gateways (`cluster kind platform`): same faults, strikes and
rules."""

import random

from gaproute.cluster.harness import ClusterHarness
from gaproute.cluster.platform.crowd import NodeCrowd
from gaproute.cluster.platform.gateways import NodeGateways
from gaproute.cluster.platform.hosts import NodeSeats
from gaproute.cluster.platform.lists import NodeLists
from gaproute.cluster.strikes import Strikes
from gaproute.standins.tap import read_tap


class NodeHarness(ClusterHarness):
    def furnish(self):
        super().furnish()
        for number, model in enumerate(self.models, 1):
            model["name"] = f"{number:016x}"  # as the platform names functions
        self.table.whose = True  # orders bear their gateway's name, for rule 5
        self.seats = NodeSeats(self, random.Random(self.seed))
        self.list = NodeLists(self)
        self.gateways, self.crowd = NodeGateways(self), NodeCrowd(self)
        self.strikes = Strikes(self)
        self.spread, self.spread_at = None, ""

    def start_store(self):
        yield from super().start_store()
        yield from self.seats.furnish()
        yield from self.list.furnish()
        gateways, table = range(self.script.day.gateways), self.table
        self.spread = self.processes.standin(
            "platform-spread",
            "spread",
            {
                "listen": table.everybody(),
                "tap": str(self.out / "spread.tap"),
                "ways": {
                    table.gateway(number)[1]: [
                        table.peer(number, other) for other in gateways if other != number
                    ]
                    for number in gateways
                },
            },
        )
        self.spread_at = (yield self.processes.line(self.spread, "the spreader"))["address"]

    def begin(self):
        """Clients wait until all gateways answer them; the script's times count from their first task."""
        cuts = [
            self.list.cut(line)
            for line in self.script.faults
            if self.wires.wires and line.kind in ("cut", "hold")
        ]
        return [self.once_in(routine) for routine in [*super().begin(), *cuts]]

    def once_in(self, routine):
        # Not `yield from`: the loop sends what each promise came to, which an iterator of a list cannot take.
        for begun in self.crowd.begun:  # noqa: UP028
            yield begun
        yield from routine

    def hosts_seen(self):
        """What the hosts and their processes noted during the day."""
        return super().hosts_seen() + [
            [event for event in read_tap(path) if self.begun < event["at"] < self.ended]
            for path in self.out.glob("hosts-*.tap")
        ]

    def wind_up(self):
        yield from super().wind_up()
        self.tap.flush()
        told = self.out / "log.tap"  # what was told to whom is judged with the rest
        self.tap.append_lines(told.read_bytes() if told.exists() else b"")


def player(script):
    """The class that plays this cluster's script."""
    return NodeHarness if script.cluster.kind == "platform" else ClusterHarness
