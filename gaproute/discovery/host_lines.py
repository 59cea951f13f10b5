"""Host lines as what the module and the host connections are told; and the file of them, watched for
changes."""

import time

from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, State

STATES = {state.value: state for state in State}


MAX_NUMBERED_NAMES = 4096  # names numbered, above which those that no line has any more are forgotten


class NameNumbers:
    """Numbers names in the order in which they are first named; no number is given twice."""

    def __init__(self):
        self.by_name, self.next = {}, 0

    def number(self, name):
        """The name's number."""
        number = self.by_name.get(name)
        if number is None:
            number = self.by_name[name] = self.next
            self.next += 1
        return number

    def retain(self, names):
        """Above the bound, forget all others."""
        if len(self.by_name) > MAX_NUMBERED_NAMES:
            named = set(names)
            self.by_name = {name: number for name, number in self.by_name.items() if name in named}


NOT_REPORTED = (0, None)  # of a host that is listed without a start: its start as told and as converted


class HostLineConverter:
    """Turns host lines into rows. Zones and racks are numbered in the order in which they are first named.

    Start times come by the wall clock and leave by the loop's (`StartTimes`). Each is converted once, so that
    a wall clock that is set does not look like a restart; it goes with its host.
    """

    def __init__(self, loop, wall=time.time_ns, use_capacities=True):
        self.start_times, self.use_capacities = StartTimes(loop, wall), use_capacities
        self.zones, self.racks, self.starts = NameNumbers(), NameNumbers(), {}

    def endpoints(self, lines, absent_at=None):
        """Of a whole list. `absent_at`: when the list before it was last known to be in force, by the loop's
        clock; None where this is the first."""
        rows = [self.endpoint(line, line.zone, absent_at) for line in lines]
        self.retain(lines)
        return rows

    def retain(self, lines):
        """Keep of hosts and racks only what these lines name."""
        named = {line.name for line in lines}
        self.starts = {name: start for name, start in self.starts.items() if name in named}
        self.racks.retain(line.rack for line in lines)

    def endpoint(self, line, zone, absent_at=None):
        """Of one line, whose host stands in that zone. `absent_at`: as for `rows`."""
        zone, rack = self.zones.number(zone), self.racks.number(line.rack)
        capacity = line.capacity if self.use_capacities else 1.0
        listed = ListedHost(
            line.name, zone, rack, STATES[line.state], capacity, self.started(line, absent_at)
        )
        return Endpoint(listed, line.where)

    def started(self, line, absent_at):
        known = self.starts.get(line.name)
        if line.started is None:
            self.starts[line.name] = NOT_REPORTED
            return None
        if known is NOT_REPORTED:  # it was there before, its start is only told now
            absent_at = None
        if known is None or known[0] != line.started:
            known = line.started, self.start_times.convert(line.started, absent_at)
            self.starts[line.name] = known
        return known[1]
