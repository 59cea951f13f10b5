"""The host list as a part: the watched file, its rows, and the decisions' state that is fed with them."""

from gaproute.decisions.routing.housekeeping import CLEANUP_INTERVAL
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hollow.parts import Part


class Hosts(Part):
    """The decisions' own `gateway` (`gaproute.decisions.routing`), fed the list and driven by no task."""

    def __init__(self, surroundings, parts):
        self.loop, self.configuration = surroundings.loop, surroundings.configuration
        self.listing = HostLineConverter(
            self.loop, surroundings.wall, use_capacities=self.configuration.capacities_reported
        )
        self.gateway = self.configuration.decisions(
            surroundings.seed, self.configuration.terms, self.loop.now()
        )
        self.due = self.loop.now() + CLEANUP_INTERVAL
        self.rows, self.watch, self.followers = {}, None, []
        self.lists = self.refused = 0

    def start(self):
        """Reads the list and watches it."""
        source = self.configuration.hosts_file
        self.watch = FileWatch(self.loop, source.path, source.look, self._told, self._refused)

    def tick(self, now):
        """Forgets hosts that left the list, as the decisions' own housekeeping does."""
        self.due = now + CLEANUP_INTERVAL
        self.gateway.forget_departed_hosts()

    def _told(self, lines):
        rows = self.listing.endpoints(lines, self.watch.current_at if self.watch is not None else None)
        self.rows = {row.listed.host: row.listed for row in rows}
        self.gateway.update_hosts(self.loop.now(), [row.listed for row in rows], True)
        self.lists += 1
        for follower in self.followers:
            follower({name: listed.started for name, listed in self.rows.items()})

    def _refused(self, mistakes):
        self.refused += len(mistakes)

    def counters(self):
        """`entries`: hosts of the list, and hosts that the decisions still hold."""
        return {
            "entries": len(self.rows) + len(self.gateway.hosts_by_id),
            "lists": self.lists,
            "refused": self.refused,
        }

    def close(self):
        """Watches no more."""
        if self.watch is not None:
            self.watch.close()
