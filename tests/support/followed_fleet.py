"""A fleet of cells whose gateways follow host lists from stand-in sources on the test's own loop."""

from cell_fleet import CellFleet, models
from helpers import MILLI

from gaproute.standins.cell_source import CellSource
from gaproute.standins.platform.host_list import member

DRAIN_GRACE = 500 * MILLI  # time in which attempts may still reach a host reported as draining or gone


class FollowedFleet(CellFleet):
    """A `CellFleet` with `sources` that publish the host lists of all cells."""

    def __init__(self, folder, cells, sources=1, hosts=2):
        super().__init__(folder, cells, hosts)
        self.sources = [CellSource(self.loop, "north") for _ in range(sources)]
        self.sources_by_gateway = {}  # addresses; a gateway that is missing here follows all sources
        for source in self.sources:
            for cell in cells:
                source.publish(cell, *self.members(cell))

    def members(self, cell, state="active"):
        """The hosts created for the cell, as members of its change log."""
        return [self.member(name, state) for name in self.hosts if name.startswith(f"{cell}-h")]

    def member(self, name, state="active", zone=""):
        """A host as a member of a change log."""
        return member(name, self.hosts[name].address, state, zone)

    def configure(self, name, zone, table=None, table_file=None, more=""):
        """Like `CellFleet.configure`, but with sources instead of a folder of host lists."""
        file = super().configure(name, zone, table, table_file, more)
        addresses = self.sources_by_gateway.get(name) or [source.address for source in self.sources]
        folder = f"cell-hosts {self.lists} look 5ms"
        file.write_text(file.read_text().replace(folder, f"cell-hosts from {','.join(addresses)}"))
        return file

    def start_gateways(self, *names):
        """Writes a newer cell table, starts these gateways and waits until they know their cells' hosts."""
        self.write_table()
        for name in names:
            zone = next(zone for zone, entries in self.cells.values() if name in entries)
            self.start(name, zone)
        self.up(*names)
        for name in names:
            wanted = sorted(cell for cell, (_, entries) in self.cells.items() if name in entries)
            self.until(lambda name=name, wanted=wanted: self.cell_status(name)["known"] == wanted)

    def host_states(self, name):
        """The states of the hosts at a gateway, by host."""
        return {host["name"]: host["state"] for host in self.operator(name, "hosts")}

    def start_requests(self, *names, label="c"):
        """Starts requests for all models at these gateways in turn, until `RequestSequence.finish`."""
        return RequestSequence(self, names, label)

    def attempts(self, host, since=0):
        """The requests and load orders that reached the host at or after `since`."""
        return [
            event
            for event in self.taps[host].events
            if event["what"] in ("task", "order") and event["at"] >= since
        ]

    def close(self):
        """Closes the sources and the fleet."""
        for source in self.sources:
            source.close()
        super().close()


class RequestSequence:
    """Requests that are sent one after another while a test runs."""

    def __init__(self, fleet, names, label):
        self.fleet, self.names, self.label = fleet, names, label
        self.statuses, self.running = [], True
        self.routine = fleet.loop.spawn(self._send_requests())

    def _send_requests(self):
        all_models = models("check") + models("order")
        while self.running:
            number = len(self.statuses)
            name, model = self.names[number % len(self.names)], all_models[number * 7 % len(all_models)]
            answer = yield self.fleet.ask(name, model, f"{self.label}{number}")
            self.statuses.append(answer.status if answer is not None else None)
            yield self.fleet.loop.sleep(2 * MILLI)

    def finish(self):
        """Sends no further request, waits for the last answer and returns the set of all statuses."""
        self.running = False
        self.fleet.wait(self.routine.done)
        return set(self.statuses)
