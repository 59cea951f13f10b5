"""The host list of a day: one file that all gateways watch, late on command."""

import os


class HostListFile:
    def __init__(self, loop, tap, seats, path):
        self.loop, self.tap, self.hosts, self.path = loop, tap, seats, path
        self.delay, self.published = 0, {}

    def publish(self):
        """Writes the list, whole and at once, and notes what it tells anew."""
        seats = self.hosts.by_name.values()
        lines = [seat.list_line() for seat in seats if seat.state != "absent"]
        fresh = self.path.with_suffix(".new")
        fresh.write_text("\n".join(lines) + "\n")
        os.replace(fresh, self.path)
        for seat in seats:
            state = "gone" if seat.state == "absent" else seat.state
            if self.published.get(seat.name) != state:
                self.published[seat.name] = state
                self.tap.note("told", host=seat.name, state=state)
        self.tap.flush()

    def publish_state(self, seat, state, delay):
        """A coroutine: the list tells of the seat after the delay, later still while the list is late."""
        yield self.loop.sleep(delay + self.delay)
        seat.state = state
        self.publish()
