"""One gateway as the platform's clients see it: whether it is in, and the connections to it.

A gateway comes in once it says so when it is asked (`ping`), and goes out some seconds after it was first
found dead, or after notice that it will be restarted.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from gaproute.loop import Loop
from gaproute.loop.addresses import Address, parse_address
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.rpc_connection import CallLoss, RpcConnection
from gaproute.standins.tap import EventRecorder
from gaproute.units import MILLI, SECOND

PING_INTERVAL = 250 * MILLI  # to a gateway that is out
DEATH_NOTICE = 1.0, 3.0  # seconds until a gateway that has died is out
RESTART_NOTICE = 0.2, 0.4  # seconds for which new connections are still made to one that is to be restarted
LAST_REQUESTS = 200 * MILLI  # after that, in which requests are still sent on open connections
MAX_PENDING = 32  # requests pending on one connection, by the protocol


class GatewayUser(Protocol):
    """What a gateway needs of the pool that it stands in."""

    loop: Loop
    tap: EventRecorder
    chance: random.Random
    requests_per_connection: int  # pending on one connection before another is opened
    max_connections: int  # to one gateway

    def note_unmatched(self, number: int, text: str) -> None:
        """Something came from that gateway that nobody asked for."""


class PooledGateway:
    """Pings the gateway from now on, until it is in."""

    def __init__(self, pool: GatewayUser, number: int, where: str) -> None:
        self.pool, self.number, self.where = pool, number, parse_address(where)
        self.connections: dict[RpcConnection, None] = {}  # in the order in which they were opened
        self.is_in = False
        self._accepts_new = True  # whether new connections are made
        self._is_going_out = False
        self._ping()

    # Connections

    def connection(self) -> RpcConnection | None:
        """A connection with capacity: a new one where all others are busy. None: there is none."""
        best = self._least_busy()
        busy = best is None or len(best.pending) >= self.pool.requests_per_connection
        if busy and self._accepts_new and len(self.connections) < self.pool.max_connections:
            return self._connect()
        return best

    def _least_busy(self) -> RpcConnection | None:
        """The connection with the fewest pending requests; idle ones that have died are dropped."""
        able = [connection for connection in self.connections if len(connection.pending) < MAX_PENDING]
        while able:
            best = min(able, key=lambda connection: len(connection.pending))
            if best.pending or best.is_usable():
                return best
            best.close()
            self.connections.pop(best, None)
            able.remove(best)
        return None

    def _connect(self) -> RpcConnection:
        connection = RpcConnection(
            self.pool.loop,
            self.where,
            lambda text: self.pool.note_unmatched(self.number, text),
            lambda connection: self.connections.pop(connection, None),
        )
        self.connections[connection] = None
        return connection

    def close_idle(self, unused_since: int) -> None:
        """Closes the connections that have been idle since before that time."""
        for connection in list(self.connections):
            if not connection.pending and connection.used_at < unused_since:
                connection.close()
                del self.connections[connection]

    # In and out

    def _ping(self) -> None:
        Ping(self.pool.loop, self.where, on_up=self._come_in, on_failed=self._ping_later)

    def _ping_later(self) -> None:
        self.pool.loop.call_later(PING_INTERVAL, self._ping)

    def _come_in(self) -> None:
        self.is_in, self._accepts_new, self._is_going_out = True, True, False
        self.pool.tap.note("in", gateway=self.number)

    def found_dead(self) -> None:
        """No connection came up."""
        if self.is_in and not self._is_going_out:
            self._is_going_out = True
            span = round(self.pool.chance.uniform(*DEATH_NOTICE) * SECOND)
            self.pool.loop.call_later(span, self._go_out)

    def restart_announced(self) -> None:
        """The gateway will be restarted."""
        if self.is_in and not self._is_going_out:
            self._is_going_out = True
            span = round(self.pool.chance.uniform(*RESTART_NOTICE) * SECOND)
            self.pool.loop.call_later(span, self._stop_connecting)
            self.pool.loop.call_later(span + LAST_REQUESTS, self._go_out)

    def _stop_connecting(self) -> None:
        self._accepts_new = False

    def _go_out(self) -> None:
        self.is_in = False
        self.pool.tap.note("out", gateway=self.number)
        self._ping_later()


class Ping:
    """Asks a gateway once, on a connection of its own, whether it is up.

    `on_up()` as soon as it says so; `on_failed()` as soon as it says otherwise, or after `PING_INTERVAL`.
    """

    def __init__(
        self,
        loop: Loop,
        where: Address,
        *,
        on_up: Callable[[], object],
        on_failed: Callable[[], object],
    ) -> None:
        self._on_up, self._on_failed = on_up, on_failed
        self._connection = RpcConnection(loop, where, lambda text: None, lambda connection: None)
        self._timer = loop.call_later(PING_INTERVAL, self._timed_out)
        self._connection.call({"method": "ping", "params": {}}, self._answered, self._lost)

    def _answered(self, message: JsonObject) -> None:
        self._timer.cancel()
        self._connection.discard()
        if message.get("result") == {"up": True}:
            self._on_up()
        else:
            self._on_failed()

    def _lost(self, loss: CallLoss) -> None:
        """Nothing is done before the time is up: the next ping is not to come sooner."""

    def _timed_out(self) -> None:
        self._connection.discard()
        self._on_failed()
