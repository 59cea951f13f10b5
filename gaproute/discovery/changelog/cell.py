"""Follows the log of one cell's hosts, which several sources tell, each in its own numbers.

The log is that of a whole fleet (`follow`), at a path of its own: `/changes/FLEET/CELL`. Sources are tried in
turn, in an order drawn by chance, so that gateways spread over them. The first whole list of a connection is
the list as it stands; what is missing or cannot be read is mended by asking for a whole list. A source whose
connection broke is asked for what follows, but for a whole list where it was not there at all meanwhile.
"""

from urllib.parse import quote

from gaproute.discovery.changelog.follow import SECOND, SILENCE, Follower
from gaproute.loop.addresses import address

FIRST_PAUSE = SECOND  # ns before it is asked again: half of it at least, so that a source that dies or comes
#                       back meets its gateways over half a second
LONGEST_PAUSE = 8 * SECOND  # ns between tries while no source answers
GONE = (ConnectionRefusedError, FileNotFoundError)  # the source has ended: it may begin in other numbers
LONGEST_EVENT = 1 << 20  # bytes: 1 KiB for each of the most hosts


def path_of(fleet, cell):
    """The path of a cell's log."""
    return f"/changes/{quote(fleet, safe='')}/{quote(cell, safe='')}".encode()


def shuffled(sources, chance):
    """The sources in an order drawn by chance."""
    left, order = list(sources), []
    while left:
        order.append(left.pop(chance.below(len(left))))
    return order


class CellFollower(Follower):
    """`told(event)` for each event in order. `lost(why)` once the sources fail, however often they are tried;
    `found()` once one has been alive for longer than the bound on silence."""

    first_pause, longest_pause = FIRST_PAUSE, LONGEST_PAUSE
    longest_event = LONGEST_EVENT

    def __init__(self, loop, sources, path, told, lost, found, chance):
        self.sources, self.path = shuffled(sources, chance), path
        self.lost, self.found = lost, found
        self.place = 0  # of the source asked, among the sources
        self.based = False  # a whole list of this source has come
        self.failing = False
        super().__init__(loop, self.sources[0], 0, told, chance)

    def connected(self, number, sock, error):
        if isinstance(error, GONE):
            self._forget()
        super().connected(number, sock, error)

    def look(self):
        """Read what waits of the log."""
        if self.stream is not None:
            self.stream.read_now()

    def again(self, why):
        """Asks once more in a moment, the next source where there are several."""
        if not self.failing:
            self.failing = True
            self.loop.guard(self.lost, f"{self.text}: {why}")
        if len(self.sources) > 1:
            self.place = (self.place + 1) % len(self.sources)
            self.text = self.sources[self.place]
            self.where = address(self.text)
            self._forget()
        super().again(why)

    def lasted(self):
        """The connection has been alive for a while."""
        super().lasted()
        if self.failing and self.heard >= self.began + SILENCE:
            self.failing = False
            self.loop.guard(self.found)

    def follows_on(self, event):
        """Whether the event is a whole list, or one of those that follow it."""
        return event.fleet.complete or self.based and event.seq <= self.last + 1

    def has_list(self):
        """Whether a whole list has come of this source."""
        return self.based

    def missing(self):
        """Something is missing: a whole list is asked for."""
        why = f"something is missing after {self.last}"
        self._forget()
        self.again(why)
        return True

    def begins_anew(self, event):
        """A whole list that comes first on a connection is the list as it stands, whatever its number."""
        return event.fleet.complete

    def note(self, event):
        """Whole lists need not be known again: `begins_anew` takes each."""
        self.based = True

    def _forget(self):
        self.last, self.based = 0, False
