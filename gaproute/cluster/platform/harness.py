"""Plays a cluster script with the platform's gateways (`cluster kind platform`): same faults, strikes and
rules."""

import random

from gaproute.cluster.harness import ClusterHarness
from gaproute.cluster.platform.change_log import PlatformChangeLog
from gaproute.cluster.platform.clients import PlatformClients
from gaproute.cluster.platform.gateways import PlatformGateways
from gaproute.cluster.platform.hosts import PlatformHosts
from gaproute.cluster.process_faults import ProcessFaults
from gaproute.standins.tap import read_tap


class PlatformHarness(ClusterHarness):
    def create_parts(self):
        super().create_parts()
        for number, model in enumerate(self.models, 1):
            model["name"] = f"{number:016x}"  # as the platform names functions
        self.table.whose = True  # orders bear their gateway's name, for rule 5
        self.hosts = PlatformHosts(self, random.Random(self.seed))
        self.host_list = PlatformChangeLog(self)
        self.gateways, self.clients = PlatformGateways(self), PlatformClients(self)
        self.strikes = ProcessFaults(self)
        self.spread, self.spread_at = None, ""

    def start_store(self):
        yield from super().start_store()
        yield from self.hosts.furnish()
        yield from self.host_list.furnish()
        gateways, table = range(self.script.day.gateways), self.table
        self.spread = self.processes.start_stand_in(
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
        self.spread_at = (yield self.processes.first_line(self.spread, "the spreader"))["address"]

    def day_routines(self):
        """Clients wait until all gateways answer them; the script's times count from their first task."""
        cuts = [
            self.host_list.cut(line)
            for line in self.script.faults
            if self.wires.wires and line.kind in ("cut", "hold")
        ]
        return [self.once_in(routine) for routine in [*super().day_routines(), *cuts]]

    def once_in(self, routine):
        # Not `yield from`: the loop sends what each promise came to, which an iterator of a list cannot take.
        for begun in self.clients.begun:  # noqa: UP028
            yield begun
        yield from routine

    def hosts_seen(self):
        """What the hosts and their processes noted during the day."""
        return super().hosts_seen() + [
            [event for event in read_tap(path) if self.begun < event["at"] < self.ended]
            for path in self.out.glob("hosts-*.tap")
        ]

    def shut_down(self):
        yield from super().shut_down()
        self.tap.flush()
        told = self.out / "log.tap"  # what was told to whom is judged with the rest
        self.tap.file.write(told.read_bytes() if told.exists() else b"")


def player(script):
    """The class that plays this cluster's script."""
    return PlatformHarness if script.cluster.kind == "platform" else ClusterHarness
