"""Clients that follow the protocol, each with one connection at a time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gaproute.soak import messages
from gaproute.soak.client_connection import ClientConnection, Outcome, RequestRecord, open_connection
from gaproute.soak.deployment import DEADLINE_MS

LATE_ANSWER_S = 0.5  # after the deadline, for which an answer still counts
RECONNECT_PAUSE_S = 0.05
REQUESTS_PER_CONNECTION = 40  # after so many a client opens a new connection
CONNECT_TIMEOUT_S = 5.0
FUNCTION_COUNT = 30


@dataclass
class ClientsReport:
    """What the usual clients saw."""

    records: list[RequestRecord] = field(default_factory=list)
    connections_refused: int = 0


@dataclass(frozen=True)
class ClientsPlan:
    """What the usual clients do."""

    address: tuple[str, int]
    clients: int
    interval_s: float  # between two requests of one client
    until: float
    seed: int


class UsualClients:
    """Runs the clients in the present event loop.

    `may_connect()`: whether the platform still sends new connections to the gateway.
    """

    def __init__(self, plan: ClientsPlan, may_connect: Callable[[], bool]) -> None:
        self.plan, self.may_connect = plan, may_connect
        self.report = ClientsReport()
        chance = random.Random(f"functions {plan.seed}")
        self.functions = [messages.new_id(chance) for _ in range(FUNCTION_COUNT)]

    async def run(self) -> ClientsReport:
        """Sends requests until the plan ends, and returns once each has ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.plan.clients):
                group.create_task(self._run_client(random.Random(f"client {number} {self.plan.seed}")))
        return self.report

    async def _run_client(self, chance: random.Random) -> None:
        await asyncio.sleep(chance.uniform(0, self.plan.interval_s))
        connection: ClientConnection | None = None
        while time.monotonic() < self.plan.until:
            if connection is None or connection.closed:
                connection = await self._connect()
                if connection is None:
                    continue
            began_at = time.monotonic()
            await self._send_request(connection, chance)
            if connection.last_number >= REQUESTS_PER_CONNECTION and self.may_connect():
                connection.close()
                connection = None
            await asyncio.sleep(max(0.0, began_at + self.plan.interval_s - time.monotonic()))
        if connection is not None:
            connection.close()

    async def _connect(self) -> ClientConnection | None:
        if self.may_connect():
            try:
                return await asyncio.wait_for(open_connection(*self.plan.address), CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                self.report.connections_refused += 1
        await asyncio.sleep(RECONNECT_PAUSE_S)
        return None

    async def _send_request(self, connection: ClientConnection, chance: random.Random) -> None:
        method = chance.choice(list(DEADLINE_MS))
        deadline_ms = DEADLINE_MS[method]
        number, now = connection.last_number + 1, time.monotonic()
        record = RequestRecord(messages.new_id(chance), now, now + deadline_ms / 1000, number)
        self.report.records.append(record)
        function = chance.choice(self.functions)
        message = messages.request(number, method, record.request_id, function, deadline_ms)
        connection.send(record, number, message)
        give_up_at = record.deadline + LATE_ANSWER_S
        while record.outcome is None:
            connection.changed.clear()
            remaining = give_up_at - time.monotonic()
            if remaining <= 0:
                connection.give_up(record, number)
                connection.close()  # its answer, if it still comes, belongs to nobody
                break
            try:
                await asyncio.wait_for(connection.changed.wait(), remaining)
            except TimeoutError:
                continue


def count_outcomes(records: list[RequestRecord]) -> dict[Outcome, int]:
    """How many requests ended in each way."""
    counts = dict.fromkeys(Outcome, 0)
    for record in records:
        if record.outcome is not None:
            counts[record.outcome] += 1
    return counts
