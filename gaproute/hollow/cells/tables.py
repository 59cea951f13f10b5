"""The cell table as a part: the product's transport, on the membership's datagrams and on pulls."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TypeAlias

from gaproute.decisions.cells.version import Version
from gaproute.hollow.cells.environment import CellGatewayEnvironment
from gaproute.hollow.cells.shared_tables import SharedCellTableTransport, SharedTableDocument
from gaproute.hollow.counting_transport import CountingTransport
from gaproute.hollow.environment import RandomStream
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.peers.ports import EventLog, TimerLoop
from gaproute.peers.tables import CellTableChannels, CellTableSettings, CellTableTransport
from gaproute.shared.dissemination import Disseminator
from gaproute.shared.randomness import RandomSource

TransportFactory: TypeAlias = Callable[
    [TimerLoop, CellTableSettings, CellTableChannels, RandomSource, EventLog], CellTableTransport
]


class CellTablePart(ControlPart):
    """Needs the part `membership`, whose members are taken for those of the own cell, as in the product."""

    def __init__(self, environment: CellGatewayEnvironment, parts: Parts) -> None:
        self._environment = environment
        self._counting_transport = CountingTransport(parts["membership"])
        self.pull_server = environment.open_pull_server(environment.address)
        self.pull_client = environment.open_pull_client(environment.loop, environment.name)
        self.transport = self._transport_factory()(
            environment.loop,
            CellTableSettings(environment.name, environment.fleet_name),
            CellTableChannels(self._counting_transport, self.pull_server, self.pull_client),
            environment.random(RandomStream.CELL_TABLE),
            environment.record,
        )

    def start(self) -> None:
        """Take the table of the own disk, then receive and send."""
        stored = self._environment.stored_table
        if stored is not None:
            version = Version(stored.term, stored.number)
            now = self._environment.loop.now()
            self.transport.disseminator.publish_document(now, version, stored.digest, stored.data)
        self.transport.set_peers(self._environment.seeds)
        self.transport.start()

    @property
    def version(self) -> Version:
        """The version of the table; below all others where there is none."""
        return self.transport.disseminator.document.version

    def counters(self) -> dict[str, int]:
        """`entries`: rows of the table, peers of the view, changes kept; `bytes`: of datagrams and pulls."""
        disseminator, table = self.transport.disseminator, self.transport.table()
        rows = 0 if table is None else len(table.cells)
        datagrams, pull_client, server = self._counting_transport, self.pull_client, self.pull_server
        return {
            "messages": datagrams.messages + pull_client.pulls + server.answers,
            "bytes": datagrams.bytes + pull_client.bytes + server.bytes,
            "pulls": pull_client.pulls,
            "rows": rows,
            "entries": rows + len(disseminator.view.names) + len(disseminator.replica.log.changes),
            "refused": sum(disseminator.rejections.values()),
        }

    def close(self) -> None:
        """Stop without writing the table."""
        self.transport.stop()
        self.pull_server.close()

    def _transport_factory(self) -> TransportFactory:
        return CellTableTransport


class SharedCellTablePart(CellTablePart):
    """Reads each version of the table once for all gateways of the process that share it."""

    def __init__(self, environment: CellGatewayEnvironment, parts: Parts) -> None:
        super().__init__(environment, parts)
        document = SharedTableDocument(self.transport.holder, environment.shared_tables)
        random = environment.random(RandomStream.CELL_TABLE)
        self.transport.disseminator = Disseminator(environment.name, document, random, environment.loop.now())

    def _transport_factory(self) -> TransportFactory:
        return partial(SharedCellTableTransport, shared_candidates=self._environment.shared_candidates)
