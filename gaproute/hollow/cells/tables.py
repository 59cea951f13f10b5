"""The cell table's carrier as a part: the product's class, on the membership's datagrams and on pulls."""

from gaproute.decisions.cells.table import Version
from gaproute.hollow.cells.shared_tables import SharedCellTableTransport, SharedTableDocument
from gaproute.hollow.demand_gossip import CountingTransport
from gaproute.hollow.parts import ControlPart
from gaproute.peers.tables import CellTableTransport
from gaproute.shared.dissemination import Disseminator


class CountingTableTransport(CountingTransport):
    """The membership as the table's carrier sees it."""

    def unregister(self, kind):
        """Datagrams of that kind are heard no more."""
        self.part.gossip.unregister(kind)


class CellTablePart(ControlPart):
    """Needs the part `membership`, whose members are taken for the own cell's, as the product takes them."""

    def __init__(self, environment, parts):
        self.environment = environment
        self.posts = CountingTableTransport(parts["membership"])
        self.peer_server = environment.open_giver(environment.address)
        self.carrier = self.made(
            environment.loop,
            environment.name,
            environment.fleet_name,
            self.posts,
            self.peer_server,
            environment.chance(6),
            environment.record,
        )
        self.puller = environment.open_puller(environment.loop, environment.name)
        self.carrier.pull_client = self.puller

    def made(self, *told):
        """The table's carrier."""
        return CellTableTransport(*told)

    def start(self):
        """Takes the table of the own disk, then listens and tells."""
        kept = self.environment.kept
        if kept is not None:
            version = Version(kept.term, kept.number)
            now = self.environment.loop.now()
            self.carrier.disseminator.publish_whole(now, version, kept.digest, kept.data)
        self.carrier.set_peers(self.environment.seeds)
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


class SharedCellTablePart(CellTablePart):
    """Reads each version of the table once for all gateways of the process that share it."""

    def made(self, *told):
        """The table's carrier."""
        return SharedCellTableTransport(self.environment.shared_candidates, *told)

    def __init__(self, environment, parts):
        super().__init__(environment, parts)
        carrier = self.carrier
        document = SharedTableDocument(carrier.holder, environment.shared_tables)
        carrier.disseminator = Disseminator(
            environment.name, document, environment.chance(6), environment.loop.now()
        )
