"""A fleet of cells whose gateways follow their host lists from stand-in sources on the test's own loop."""

from cell_fleet import CellFleet, models
from helpers import MILLI

from gaproute.standins.cell_source import CellSource
from gaproute.standins.platform.host_list import member

GRACE = 500 * MILLI  # after a host was reported draining or gone


class FollowedFleet(CellFleet):
    """As `CellFleet`, with `sources` that send the lists of all cells."""

    def __init__(self, folder, cells, sources=1, hosts=2):
        super().__init__(folder, cells, hosts)
        self.sources = [CellSource(self.loop, "north") for _ in range(sources)]
        self.sources_of = {}  # gateway: addresses of its sources, those of all where none are given
        for source in self.sources:
            for cell in cells:
                source.publish(cell, *self.members(cell))

    def members(self, cell, state="active"):
        """The hosts made for the cell, as members of its log."""
        return [self.member(name, state) for name in self.hosts if name.startswith(f"{cell}-h")]

    def member(self, name, state="active", zone=""):
        """A host as a member of a log."""
        return member(name, self.hosts[name].address, state, zone)

    def configure(self, name, zone, table=None, table_file=None, more=""):
        """As `CellFleet.configure`, with sources in place of a folder."""
        file = super().configure(name, zone, table, table_file, more)
        wheres = self.sources_of.get(name) or [source.address for source in self.sources]
        folder = f"cell-hosts {self.lists} look 5ms"
        file.write_text(file.read_text().replace(folder, f"cell-hosts from {','.join(wheres)}"))
        return file

    def serving(self, *names):
        """A newer table is written, and these are started and know their cells' hosts."""
        self.write_table()
        for name in names:
            zone = next(zone for zone, entries in self.cells.values() if name in entries)
            self.start(name, zone)
        self.up(*names)
        for name in names:
            wanted = sorted(cell for cell, (_, entries) in self.cells.items() if name in entries)
            self.until(lambda name=name, wanted=wanted: self.cell_status(name)["known"] == wanted)

    def listed(self, name):
        """{host: state} at a gateway."""
        return {host["name"]: host["state"] for host in self.operator(name, "hosts")}

    def calls(self, *names, label="c"):
        """Calls of every model at these gateways, one after another until `Calls.end`."""
        return Calls(self, names, label)

    def attempts(self, host, since=0):
        """Calls and load orders that reached the host since then."""
        return [
            event
            for event in self.taps[host].events
            if event["what"] in ("task", "order") and event["at"] >= since
        ]

    def close(self):
        """As `CellFleet.close`, and the sources."""
        for source in self.sources:
            source.close()
        super().close()


class Calls:
    """Calls that go on beside what a test does."""

    def __init__(self, fleet, names, label):
        self.fleet, self.names, self.label = fleet, names, label
        self.statuses, self.going = [], True
        self.routine = fleet.loop.spawn(self._call())

    def _call(self):
        every = models("check") + models("order")
        while self.going:
            number = len(self.statuses)
            name, model = self.names[number % len(self.names)], every[number * 7 % len(every)]
            answer = yield self.fleet.ask(name, model, f"{self.label}{number}")
            self.statuses.append(answer.status if answer is not None else None)
            yield self.fleet.loop.sleep(2 * MILLI)

    def end(self):
        """The statuses, when the last call has its answer."""
        self.going = False
        self.fleet.wait(self.routine.done)
        return set(self.statuses)
