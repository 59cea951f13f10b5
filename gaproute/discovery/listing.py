"""Host lines as what the module and the host connections are told; and the file of them, watched for
changes."""

import os
import time

from gaproute.config import ConfigurationError, read_hosts
from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.rows import Row
from gaproute.interface import ListedHost, State
from gaproute.loop.faults import cause_of, is_transient_read

STATES = {state.value: state for state in State}


TOLD_AT = 2  # reads in a row that failed for a moment, at which that is told
MAX_NUMBERED = 4096  # names numbered, above which those that no line has any more are forgotten


class Numbers:
    """Numbers names in the order in which they are first named; no number is given twice."""

    def __init__(self):
        self.of, self.next = {}, 0

    def number(self, name):
        """The name's number."""
        number = self.of.get(name)
        if number is None:
            number = self.of[name] = self.next
            self.next += 1
        return number

    def keep(self, names):
        """Above the bound, forget all others."""
        if len(self.of) > MAX_NUMBERED:
            named = set(names)
            self.of = {name: number for name, number in self.of.items() if name in named}


NOT_TOLD = (0, None)  # of a host that is listed without a start: its start as told and as converted


class Listing:
    """Turns host lines into rows. Zones and racks are numbered in the order in which they are first named.

    Start times come by the wall clock and leave by the loop's (`StartTimes`). Each is converted once, so that
    a wall clock that is set does not look like a restart; it goes with its host.
    """

    def __init__(self, loop, wall=time.time_ns, sizes=True):
        self.start_times, self.sizes = StartTimes(loop, wall), sizes
        self.zones, self.racks, self.starts = Numbers(), Numbers(), {}

    def rows(self, lines, absent_at=None):
        """Of a whole list. `absent_at`: when the list before it was last known to be in force, by the loop's
        clock; None where this is the first."""
        rows = [self.row(line, line.zone, absent_at) for line in lines]
        self.forget_others(lines)
        return rows

    def forget_others(self, lines):
        """Keep of hosts and racks only what these lines name."""
        named = {line.name for line in lines}
        self.starts = {name: start for name, start in self.starts.items() if name in named}
        self.racks.keep(line.rack for line in lines)

    def row(self, line, zone, absent_at=None):
        """Of one line, whose host stands in that zone. `absent_at`: as for `rows`."""
        zone, rack = self.zones.number(zone), self.racks.number(line.rack)
        capacity = line.capacity if self.sizes else 1.0
        listed = ListedHost(
            line.name, zone, rack, STATES[line.state], capacity, self.started(line, absent_at)
        )
        return Row(listed, line.where)

    def started(self, line, absent_at):
        known = self.starts.get(line.name)
        if line.started is None:
            self.starts[line.name] = NOT_TOLD
            return None
        if known is NOT_TOLD:  # it was there before, its start is only told now
            absent_at = None
        if known is None or known[0] != line.started:
            known = line.started, self.start_times.convert(line.started, absent_at)
            self.starts[line.name] = known
        return known[1]


class FileWatch:
    """Looks at a file of lines; `told(lines)` at once when it has changed. A wrong or missing file is
    refused whole, `refused(mistakes)` is called once for it, and the list last told stays. One that cannot
    be read for a moment is read at the next look; that is told once too, when it lasts.

    `current_at`: when the file was last seen to be as it was told; None before the first. While lines are
    told it is still the time before that. Changes are known by the file's time being another, not a later
    one, so a wall clock that is set back hides none."""

    def __init__(self, loop, path, look, told, refused, reader=read_hosts):
        self.loop, self.path, self.look_every = loop, path, look
        self.told, self.refused, self.reader = told, refused, reader
        self.mark = self.current_at = None
        self.good = False  # whether the file as it was last read was told
        self.unread = 0  # reads in a row that failed for a moment
        # after a stop the list is read before the tasks that came meanwhile
        loop.on_late_turn.append(self.look)
        self.again()

    def again(self):
        self.timer = self.loop.after(self.look_every, self.again)
        self.look()

    def look(self):
        looked_at = self.loop.now()
        try:
            state = os.stat(self.path)
            mark = (state.st_mtime_ns, state.st_ino, state.st_size)
        except OSError as fault:
            if is_transient_read(fault):
                return
            mark = fault.errno
        if mark != self.mark:
            self.mark = mark
            self.read()
        elif self.good:
            self.current_at = looked_at

    def read(self):
        read_at, self.good = self.loop.now(), False
        try:
            lines = self.reader(self.path)
        except ConfigurationError as wrong:
            if self._is_told(wrong):
                self.refused(wrong.mistakes)
            return
        self.unread = 0
        self.told(lines)
        self.good, self.current_at = True, read_at

    def _is_told(self, wrong):
        """Whether these mistakes are to be told; what may pass by itself is looked at again first."""
        fault = cause_of(wrong)
        if fault is None or not is_transient_read(fault):
            self.unread = 0
            return True
        self.mark = None
        self.unread += 1
        return self.unread == TOLD_AT

    def close(self):
        self.timer.cancel()
        if self.look in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self.look)
