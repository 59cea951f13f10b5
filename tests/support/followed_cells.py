"""Cells' host lists followed from stand-in sources on one loop, with the time held by the test."""

import json
from types import SimpleNamespace

from scripted import MILLI, SECOND, Handed

from gaproute.appliance.followed_lists import FollowedLists
from gaproute.config.directives.fleet import CellHostsLine
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop
from gaproute.standins.cell_source import CellSource
from gaproute.standins.platform.host_list import member

PORTS = {name: port for port, name in enumerate("uvwxyz", 1)}
ZONES = {"a1": "a", "b1": "b"}


def host(name, state="active", zone="", **fields):
    """A member of a log."""
    return member(name, f"127.0.0.1:{PORTS[name[0]]}", state, zone, **fields)


def hosts(names, **fields):
    """Members of a log."""
    return [host(name, **fields) for name in names]


def event(seq, members, *, complete=True):
    """An event's bytes."""
    watch_event = {"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}}
    return b"data: %b\n\n" % json.dumps(watch_event).encode()


class FollowedCells:
    """Lists as they were adopted, refused and unavailable. `lists_in_force`: {cell: {host: state}}."""

    def __init__(self, sources=1, zones=ZONES, wheres=None, seed=1):
        self.clock = Handed()
        self.loop = Loop(self.clock)
        self.sources = [CellSource(self.loop, "north") for _ in range(0 if wheres else sources)]
        self.lists_in_force, self.adoptions, self.refused, self.count, self.failures = {}, 0, [], 0, []
        wheres = wheres or [source.address for source in self.sources]
        line = CellHostsLine(**{"from": ",".join(wheres)}, look=50 * MILLI)
        self.lists = FollowedLists(
            self.loop, "north", line, self._adopted, self._refused, self._failed, Chance(seed)
        )
        self.zones = zones

    def _adopted(self, lists):
        self.adoptions += 1
        self.lists_in_force = {
            cell: {line.name: line.state for line in lines} for cell, lines in lists.items()
        }

    def _refused(self, cell, count, members):
        self.count += count
        self.refused += [SimpleNamespace(cell=cell, host=host, reason=why) for host, why in members]

    def _failed(self, cell, why):
        self.failures.append((cell, why))

    def begin(self, **lists):
        """All sources send these lists, and the cells of the zones are wanted."""
        for source in self.sources:
            for cell, members in lists.items():
                source.publish(cell, *members)
        self.lists.set_cells(self.zones)
        self.until(lambda: all(cell in self.lists_in_force for cell in lists))

    def names(self, cell):
        """Names of the cell's hosts in force."""
        return "".join(sorted(self.lists_in_force.get(cell, {})))

    def passes(self, span, step=10 * MILLI):
        """So much of the held time goes by, in small steps with turns in between."""
        end = self.clock.now + span
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + step)
            for _ in range(6):
                self.loop.call_soon(lambda: None)
                self.loop.turn()

    def until(self, condition, within=30 * SECOND):
        """Time goes by until the condition holds."""
        end = self.clock.now + within
        while not condition():
            assert self.clock.now < end, "waited too long"
            self.passes(5 * MILLI, 5 * MILLI)

    def follower(self, cell):
        """Who follows the cell."""
        return self.lists.followed[cell].watcher

    def close(self):
        """Ends all."""
        self.lists.close()
        for source in self.sources:
            source.close()
        self.loop.close()
