"""Follows the log: one connection, asked again from the last number whenever it breaks or falls silent."""

from functools import partial

from gaproute.discovery.changelog.events import EVENT, Broken, Reader
from gaproute.loop import Stream, connect
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000
SILENCE = 2 * SECOND  # two of its comments missing: what it has to tell counts as told after 4 s
PACE = 64 << 10  # bytes a second at least, of what has not ended: 1,024 hosts come over 50 kB/s
CONNECT = 500 * MILLI  # for a connection: many round trips, and several tries within that time
FIRST = 20 * MILLI  # before it is asked again; doubled with each try that told nothing
LONGEST = 500 * MILLI  # between tries: told or not, its news counts as told soon after
HEAD = 1  # what became whole of an answer that has its head alone: no word of the list yet
WHOLE = 1024  # whole lists that are known again, by some bytes each: usually there is one


class Follower:
    """`told(event)` for each new event, in order. `known`: the events up to `last`.

    `anew` counts how often the log began anew: what it told would be passed over for ever as had before. An
    event written twice must not pass for that: only a whole list does, first on a connection, that is not
    the one had under its number. A log that begins anew with less is not noticed.

    `current_at`: when the list was last known to be as it was told, by an event or a comment; None before the
    first whole list. While an event is told it is still the time before that.
    """

    path = b"/changes"
    first_pause, longest_pause = FIRST, LONGEST  # ns between tries
    longest_event = EVENT  # bytes

    def __init__(self, loop, where, last, told, chance, known=()):
        self.loop, self.told, self.last, self.chance = loop, told, last, chance
        self.where = self.text = None
        self.stream = self.connecting = self.timer = self.reader = None
        self.pause, self.asked, self.gap = self.first_pause, 0, None
        self.lists, self.fresh, self.anew = {}, False, 0
        self.fault = ""  # why it was asked again, the last time
        for event in known:
            self.note(event)
        self.current_at = loop.now() if self.lists else None
        # the last that came whole; when it was asked; the later of the two
        self.heard = self.began = self.since = loop.now()
        self.move(where)

    def move(self, where):
        """From now on the log is at that address; its numbers go on."""
        if where != self.text:
            self.text, self.where = where, address(where)
            self.pause = self.first_pause
            self.ask()

    def ask(self):
        self.cut()
        self.asked += 1
        self.began = self.since = self.loop.now()
        self.timer = self.loop.after(SILENCE, self.quiet)
        self.connecting = connect(self.loop, self.where, CONNECT, partial(self.connected, self.asked))

    def connected(self, number, sock, error):
        if number != self.asked or self.connecting is None:
            return  # of a dial that was given up meanwhile
        self.connecting = None
        if error is not None:
            self.again(error)
            return
        self.reader, self.fresh = Reader(self.longest_event), True
        self.stream = Stream(self.loop, sock, self.bytes, lambda error: self.again(error or "closed"))
        self.stream.write(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nAccept: text/event-stream\r\n"
            b"Last-Event-ID: %d\r\n\r\n" % (self.path, self.text.encode(), self.last)
        )

    def bytes(self, data):
        reader, before = self.reader, self.reader.whole
        try:
            events = reader.feed(data)
        except Broken as fault:
            events = reader.events
            self.again(fault)
        if reader.whole != before:
            self.heard = self.since = self.loop.now()
            if self.heard >= self.began + LONGEST:
                self.lasted()
        for event in events:
            first, self.fresh = self.fresh, False
            if event is None or not self.follows_on(event):
                if self.missing():
                    return
                if event is None:
                    continue
            elif event.seq <= self.last:
                if not (first and self.begins_anew(event)):
                    continue  # written twice
                self.anew += 1
            self.last, self.pause = event.seq, self.first_pause
            self.note(event)
            self.loop.guard(self.told, event)
        if reader.whole > max(before, HEAD) and self.has_list():
            self.current_at = self.loop.now()

    def has_list(self):
        """Whether a whole list has come, on which what comes now builds."""
        return bool(self.lists)

    def lasted(self):
        """The connection has been alive for a while; a head alone would tell nothing."""
        self.pause = self.first_pause

    def follows_on(self, event):
        """Whether nothing is missing before the event."""
        return event.fleet.complete or event.seq <= self.last + 1

    def missing(self):
        """An event is missing, or cannot be read: asked for once, then done without. Whether it is asked."""
        if self.gap == self.last:
            return False
        self.gap = self.last
        self.again(f"something is missing after {self.last}")
        return True

    def begins_anew(self, event):
        """Whether the log has begun anew with this event, the first on a connection and of a number had."""
        return event.fleet.complete and self.lists.get(event.seq) != event.fleet.mark()

    def note(self, event):
        if event.fleet.complete:
            self.lists[event.seq] = event.fleet.mark()
            if len(self.lists) > WHOLE:
                del self.lists[min(self.lists)]

    def quiet(self):
        """Bytes alone are no sign of life: a trickle without an end would keep the connection for ever."""
        slow = self.reader.size * SECOND // PACE if self.stream is not None else 0
        left = self.since + SILENCE + slow - self.loop.now()
        if left <= 0:
            self.again("silent")
        else:
            self.timer = self.loop.after(left, self.quiet)

    def again(self, why):
        """Asks once more in a moment, spread by chance so that gateways do not all ask at once."""
        self.cut()
        self.fault = str(why)
        wait = self.pause // 2 + self.pause * self.chance.below(1024) // 2048
        self.pause = min(2 * self.pause, self.longest_pause)
        self.timer = self.loop.after(wait, self.ask)

    def cut(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connecting is not None:
            self.connecting()
            self.connecting = None
        if self.stream is not None:
            self.stream.abort()
            self.stream = None

    close = cut
