"""Clients that leave before their answer, some with much unread, and whose ids then come again."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

from gaproute.soak import messages
from gaproute.soak.deployment import DEADLINE_MS, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS

PARALLEL_CLIENTS = 8
SMALL_BACKLOG, LARGE_BACKLOG = 200, 400  # requests of a client that leaves with much unread
MAX_PAUSE_S = 0.06
CONNECT_TIMEOUT_S = 5.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER


@dataclass
class DepartedReport:
    """What the departing clients did."""

    left_at: dict[str, float] = field(default_factory=dict)  # by request id: when its client was gone
    repeated: set[str] = field(default_factory=set)  # ids that came again


@dataclass(frozen=True)
class DeparturePlan:
    """What the process of the departing clients is told."""

    address: tuple[str, int]
    until: float
    seed: int


class DepartingClients:
    """Runs the clients; each leaves, and its ids come again on a new connection."""

    def __init__(self, plan: DeparturePlan) -> None:
        self.plan, self.report = plan, DepartedReport()

    async def run(self) -> DepartedReport:
        """Runs until the plan ends."""
        async with asyncio.TaskGroup() as group:
            for number in range(PARALLEL_CLIENTS):
                group.create_task(self._run_client(random.Random(f"departing {number} {self.plan.seed}")))
        return self.report

    async def _run_client(self, chance: random.Random) -> None:
        while time.monotonic() < self.plan.until:
            with suppress(OSError, TimeoutError):
                await self._leave_and_return(chance)
            await asyncio.sleep(chance.uniform(0, MAX_PAUSE_S))

    async def _leave_and_return(self, chance: random.Random) -> None:
        count = chance.choice((1, 4, SMALL_BACKLOG, LARGE_BACKLOG))
        argument = messages.LARGEST_ARGUMENT if count == LARGE_BACKLOG else messages.SMALL_ARGUMENT
        method = chance.choice((IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS))
        ids = [messages.new_id(chance) for _ in range(count)]
        function = messages.new_id(chance)
        requests = b"".join(
            messages.request(number, method, request_id, function, DEADLINE_MS[method], argument)
            for number, request_id in enumerate(ids, 1)
        )
        writer = await self._connect()
        writer.write(requests)
        await asyncio.sleep(chance.choice((0.0, 0.002, 0.01, MAX_PAUSE_S)))
        if chance.random() < 0.5:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        await asyncio.sleep(0)  # asyncio closes the socket in its next turn
        await asyncio.sleep(0)
        left_at = time.monotonic()
        repeated = ids if count < SMALL_BACKLOG else []
        for request_id in ids:
            if request_id not in repeated:
                self.report.left_at[request_id] = left_at
        if not repeated:
            return
        await asyncio.sleep(chance.choice((0.0, 0.005, MAX_PAUSE_S, 1.0)))
        writer = await self._connect()
        for number, request_id in enumerate(repeated, 1):
            writer.write(messages.request(number, method, request_id, function, DEADLINE_MS[method]))
        self.report.repeated.update(repeated)
        await asyncio.sleep(MAX_PAUSE_S)
        writer.close()

    async def _connect(self) -> asyncio.StreamWriter:
        _, writer = await asyncio.wait_for(asyncio.open_connection(*self.plan.address), CONNECT_TIMEOUT_S)
        return writer


def run_departing_clients(plan: DeparturePlan, parent: Connection) -> None:
    """Runs the clients and sends the parent a `DepartedReport`; the target of a process."""
    parent.send(asyncio.run(DepartingClients(plan).run()))
