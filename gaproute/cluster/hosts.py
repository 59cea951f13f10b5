"""The hosts: the wire is told where each listens; who is struck is drawn by the script's line alone."""

from gaproute.scenarios.hosts import DayHosts


class ClusterHosts(DayHosts):
    def __init__(self, harness, random):
        super().__init__(harness.script, harness.seed, harness.processes, harness.models, random)
        self.harness = harness

    def start(self, seat, *, warm):
        yield from self.harness.gate.through(super().start(seat, warm=warm))
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
        candidates = self.candidates(line)
        return self.harness.chance(line).sample(candidates, min(line.hosts, len(candidates)))
