"""Host lists of cells, followed from stand-in sources on one loop whose clock the test moves."""

import json
from types import SimpleNamespace

from scripted import MILLI, SECOND, Handed

from gaproute.appliance.followed_lists import FollowedLists
from gaproute.config.directives.fleet import CellHostsLine
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop
from gaproute.standins.cell_source import CellSource
from gaproute.standins.platform.host_list import member

PORTS = {name: port for port, name in enumerate("uvwxyz", 1)}
ZONES = {"a1": "a", "b1": "b"}


def host(name, state="active", zone="", **fields):
    """A member of a change log event; the first letter of its name gives its port."""
    return member(name, f"127.0.0.1:{PORTS[name[0]]}", state, zone, **fields)


def hosts(names, **fields):
    """Members of a change log event, one for each name."""
    return [host(name, **fields) for name in names]


def event(seq, members, *, complete=True):
    """The bytes of a server-sent event."""
    watch_event = {"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}}
    return b"data: %b\n\n" % json.dumps(watch_event).encode()


class FollowedCells:
    """Records what `FollowedLists` reports. `lists_in_force`: {cell: {host: state}}; `source_changes`: (cell,
    error or None)."""

    def __init__(self, sources=1, zones=ZONES, addresses=None, seed=1):
        self.clock = Handed()
        self.loop = Loop(self.clock)
        self.sources = [CellSource(self.loop, "north") for _ in range(0 if addresses else sources)]
        self.lists_in_force, self.change_count = {}, 0
        self.rejected, self.rejected_count, self.source_changes = [], 0, []
        addresses = addresses or [source.address for source in self.sources]
        line = CellHostsLine(**{"from": ",".join(addresses)}, look=50 * MILLI)
        self.lists = FollowedLists(
            self.loop,
            "north",
            line,
            self._on_change,
            self._on_rejected,
            self._on_source_changed,
            RandomGenerator(seed),
        )
        self.zones = zones

    def _on_change(self, lists):
        self.change_count += 1
        self.lists_in_force = {
            cell: {line.name: line.state for line in lines} for cell, lines in lists.items()
        }

    def _on_rejected(self, cell, count, members):
        self.rejected_count += count
        self.rejected += [SimpleNamespace(cell=cell, host=host, reason=reason) for host, reason in members]

    def _on_source_changed(self, cell, error):
        self.source_changes.append((cell, error))

    def start(self, **lists):
        """Publishes these lists at all sources, follows all cells and waits until the lists are in force."""
        for source in self.sources:
            for cell, members in lists.items():
                source.publish(cell, *members)
        self.lists.set_cells(self.zones)
        self.until(lambda: all(cell in self.lists_in_force for cell in lists))

    def host_names(self, cell):
        """The names of the cell's hosts in force, sorted and joined."""
        return "".join(sorted(self.lists_in_force.get(cell, {})))

    def advance(self, span, step=10 * MILLI):
        """Moves the clock forward by `span` in small steps, and turns the loop after each step."""
        end = self.clock.now + span
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + step)
            for _ in range(6):
                self.loop.call_soon(lambda: None)
                self.loop.turn()

    def until(self, condition, within=30 * SECOND):
        """Moves the clock forward until the condition holds."""
        end = self.clock.now + within
        while not condition():
            assert self.clock.now < end, "waited too long"
            self.advance(5 * MILLI, 5 * MILLI)

    def watcher(self, cell):
        """The watcher of the cell's change log."""
        return self.lists.followed[cell].watcher

    def close(self):
        """Closes the lists, the sources and the loop."""
        self.lists.close()
        for source in self.sources:
            source.close()
        self.loop.close()
