"""The cell table's carrier as a part: the product's class, on the membership's datagrams and on pulls."""

from gaproute.decisions.cells.version import Version
from gaproute.hollow.cells.shared import SharedCellTableTransport, SharedTableDocument
from gaproute.hollow.demand import CountedPosts
from gaproute.hollow.parts import Part
from gaproute.peers.tables import CellTableTransport
from gaproute.shared.dissemination import Disseminator


class TablePosts(CountedPosts):
    """The membership as the table's carrier sees it."""

    def unregister(self, kind):
        """Datagrams of that kind are heard no more."""
        self.part.gossip.unregister(kind)


class Tables(Part):
    """Needs the part `membership`, whose members are taken for the own cell's, as the product takes them."""

    def __init__(self, surroundings, parts):
        self.surroundings = surroundings
        self.posts = TablePosts(parts["membership"])
        self.peer_server = surroundings.open_giver(surroundings.address)
        self.carrier = self.made(
            surroundings.loop,
            surroundings.name,
            surroundings.fleet_name,
            self.posts,
            self.peer_server,
            surroundings.chance(6),
            surroundings.record,
        )
        self.puller = surroundings.open_puller(surroundings.loop, surroundings.name)
        self.carrier.pull_client = self.puller

    def made(self, *told):
        """The table's carrier."""
        return CellTableTransport(*told)

    def start(self):
        """Takes the table of the own disk, then listens and tells."""
        kept = self.surroundings.kept
        if kept is not None:
            version = Version(kept.term, kept.number)
            now = self.surroundings.loop.now()
            self.carrier.disseminator.publish_whole(now, version, kept.digest, kept.data)
        self.carrier.set_peers(self.surroundings.seeds)
        self.carrier.start()

    @property
    def version(self):
        """The version held; below all others where none is."""
        return self.carrier.disseminator.document.version

    def counters(self):
        """`entries`: rows of the table, peers of the view, changes kept; `bytes`: of datagrams and pulls,
        with headers."""
        disseminator, table = self.carrier.disseminator, self.carrier.table()
        rows = 0 if table is None else len(table.cells)
        return {
            "messages": self.posts.messages + self.puller.pulls + self.peer_server.answers,
            "bytes": self.posts.bytes + self.puller.bytes + self.peer_server.bytes,
            "pulls": self.puller.pulls,
            "rows": rows,
            "entries": rows + len(disseminator.view.names) + len(disseminator.replica.log.changes),
            "refused": sum(disseminator.rejections.values()),
        }

    def close(self):
        """Stops, and keeps nothing."""
        self.carrier.stop()
        self.peer_server.close()


class SharedTables(Tables):
    """Reads each version of the table once for all gateways of the process that share it."""

    def made(self, *told):
        """The table's carrier."""
        return SharedCellTableTransport(self.surroundings.shared_candidates, *told)

    def __init__(self, surroundings, parts):
        super().__init__(surroundings, parts)
        carrier = self.carrier
        document = SharedTableDocument(carrier.holder, surroundings.shared_tables)
        carrier.disseminator = Disseminator(
            surroundings.name, document, surroundings.chance(6), surroundings.loop.now()
        )
