"""Hollow gateways on real sockets, tens in one process, with orders as lines of JSON on standard input."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import TypedDict

from gaproute.config import Configuration
from gaproute.errors import GaprouteError
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.member_changes import MemberChangeCounter
from gaproute.hollow.parts import ConfiguredGateway, PartFactory
from gaproute.hollow.peer_server import PeerServerPart
from gaproute.loop import Loop
from gaproute.loop.datagrams import DatagramSocket
from gaproute.loop.descriptors import READ
from gaproute.peers.raft import RaftTransport
from gaproute.shared.raft import Disk
from gaproute.units import MILLI

LATENESS_INTERVAL = 20 * MILLI  # between checks how late the process runs
START_INTERVAL = 10 * MILLI  # between the starts of two gateways
READ_SIZE = 1 << 16  # bytes
SEEDS_APART, GATEWAYS_APART = 1_000_003, 101  # so that no two parts of a play draw alike
PROCESS_PARTS: Mapping[str, PartFactory] = {**PARTS, "exchange": PeerServerPart}


class RaftMemberError(GaprouteError):
    """A hollow gateway on real sockets should be a member of the Raft group: it has no disk for that."""


def no_disk(name: str) -> Disk:
    """In place of a member's disk. Raises RaftMemberError."""
    raise RaftMemberError(f"the hollow gateway {name} has no disk, and cannot be a member of the Raft group")


class Order(TypedDict, total=False):
    """A line of standard input: an object with one of these keys."""

    kill: str  # the name of a gateway that runs
    start: str  # the name of a configured gateway
    changes: str  # the name of a gateway; answered by a line with `changes_of`
    snapshot: bool  # answered by a line with `snapshot`


class HollowProcess:
    """The gateways `rows[first : first + count]` of all `rows`; `configuration` is shared by them."""

    def __init__(
        self,
        configuration: Configuration,
        rows: Sequence[ConfiguredGateway],
        *,
        first: int,
        count: int,
        seed: int = 1,
    ) -> None:
        self._loop, self._configuration, self._rows, self._seed = Loop(), configuration, rows, seed
        self._loop.on_error = self._callback_failed
        self._member_changes = MemberChangeCounter()
        self._gateways: dict[str, HollowGateway] = {}
        self._errors, self._last_error = 0, ""
        self._lateness = 0  # ns, the greatest since the last snapshot
        self._check_due = self._loop.now() + LATENESS_INTERVAL
        self._unread = b""  # the beginning of an order
        for index in range(first, min(first + count, len(rows))):
            self._loop.call_later((index - first) * START_INTERVAL, self._start, index)
        self._loop.call_later(LATENESS_INTERVAL, self._check_lateness)
        self._loop.watch(sys.stdin.fileno(), READ, self._read_orders)

    def run(self) -> None:
        """Run the gateways until standard input ends."""
        self._loop.run()
        for gateway in self._gateways.values():
            gateway.close()

    # Orders

    def obey(self, order: Order) -> None:
        """Carry out an order."""
        if "kill" in order:
            self._gateways.pop(order["kill"]).close()
        elif "start" in order:
            self._start([row.name for row in self._rows].index(order["start"]))
        elif "changes" in order:
            self._print(self.changes_of(order["changes"]))
        else:
            self._print(self.snapshot())

    def changes_of(self, name: str) -> dict[str, object]:
        """What was noticed of one gateway; cheaper than a snapshot, so that asking often delays nobody."""
        return {"gateways": len(self._gateways), "changes": self._member_changes.rows(name)}

    def snapshot(self) -> dict[str, object]:
        """Counts since the start, and the greatest lateness since the last snapshot."""
        lateness, self._lateness = self._lateness, 0
        memberships = [gateway.parts["membership"].membership for gateway in self._gateways.values()]
        return {
            "gateways": len(self._gateways),
            "totals": self._totals(),
            "late_ns": lateness,
            "cpu_ns": time.process_time_ns(),
            "least_up": min((membership.live_count() for membership in memberships), default=0),
            "errors": self._errors,
            "last_error": self._last_error,
        }

    def _totals(self) -> dict[str, int]:
        totals: Counter[str] = Counter()
        for gateway in self._gateways.values():
            for part, counters in gateway.counters().items():
                for counter, value in counters.items():
                    totals[f"{part}.{counter}"] += value
        return dict(totals)

    def _print(self, answer: Mapping[str, object]) -> None:
        print(json.dumps(answer), flush=True)

    # Called by the loop

    def _read_orders(self, events: int) -> None:
        """Read orders from standard input; its end is the end of the process."""
        data = os.read(sys.stdin.fileno(), READ_SIZE)
        if not data:
            self._loop.stop()
            return
        *lines, self._unread = (self._unread + data).split(b"\n")
        for line in lines:
            self.obey(json.loads(line))

    def _start(self, index: int) -> None:
        row = self._rows[index]
        environment = GatewayEnvironment(
            loop=self._loop,
            name=row.name,
            address=row.where,
            configuration=self._configuration,
            seed=self._seed * SEEDS_APART + index * GATEWAYS_APART,
            open_datagrams=DatagramSocket,
            open_raft_transport=RaftTransport,
            open_raft_disk=no_disk,
            wall_clock=time.time_ns,
            record=self._member_changes,
        )
        gateway = self._gateways[row.name] = HollowGateway(environment, PROCESS_PARTS)
        gateway.start(self._rows)

    def _callback_failed(self, error: BaseException) -> None:
        self._errors, self._last_error = self._errors + 1, repr(error)

    def _check_lateness(self) -> None:
        now = self._loop.now()
        self._lateness, self._check_due = max(self._lateness, now - self._check_due), now + LATENESS_INTERVAL
        self._loop.call_at(self._check_due, self._check_lateness)
