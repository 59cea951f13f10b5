"""The hosts: the wire is told where each listens; who is struck is drawn by the script's line alone."""

from gaproute.scenarios.hosts import DayHosts


class ClusterHosts(DayHosts):
    def __init__(self, harness, random):
        super().__init__(harness.script, harness.seed, harness.processes, harness.models, random)
        self.harness = harness

    def start(self, seat, warm):
        yield from self.harness.gate.through(super().start(seat, warm))
        self.tell(seat, False)

    def kill(self, seat):
        super().kill(seat)
        self.tell(seat, True)

    def tell(self, seat, refuses):
        """The wire refuses for a host that is down: a connection accepted and then reset would prove less."""
        if self.harness.wires.wires:
            number, told = self.harness.table.host_seat(seat)
            self.harness.wires.say({"seat": {number: told | {"refuses": refuses}}})

    def choose(self, line):
        free = [
            seat
            for seat in self.by_name.values()
            if seat.state == "active" and not seat.under_fault and line.zone in (None, seat.zone)
        ]
        return self.harness.chance(line).sample(free, min(line.hosts, len(free)))
