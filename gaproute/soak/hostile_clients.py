"""Clients that break the protocol or exhaust limits; each kind runs in a process of its own."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from gaproute.soak import messages
from gaproute.soak.deployment import DEADLINE_MS, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS
from gaproute.standins.platform.answer_reader import AnswerReader

RECONNECT_PAUSE_S = 0.02
CONNECT_TIMEOUT_S = 5.0
MESSAGES_PER_WRITE = 64
READ_SIZE = 1 << 18
OPEN_REQUESTS = 32  # that one connection may have at a time
HALF_BODY = b"Content-Length: 48000\r\n\r\n" + b"x" * 47_000
SHORT_FIELD = b"a:b\r\n"
OVERSIZE_HEAD = b"Content-Length: 60000000\r\n\r\n"
PIECE = b"x" * 65536
CHURNING_CONNECTIONS = 4

# What one connection does.
Play = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class HostileKind(Enum):
    """What hostile clients do. The first ones use one connection, at full speed."""

    NEW_FUNCTIONS = "new_functions"  # valid requests for ever-new functions, as many as may be open
    FUNCTION_FLOOD = "function_flood"  # the same without waiting for answers
    PINGS = "pings"
    INVALID = "invalid"  # messages that are no requests, on a new connection after each close
    NEW_NAMES = "new_names"  # ever-new classes, fields and figures
    OVERSIZE = "oversize"  # messages of 60 MB
    CHURN = "churn"  # connections that are opened, used once or not at all, and closed
    # These use many connections.
    HALF_BODIES = "half_bodies"  # stop in the middle of a large request
    SHORT_FIELDS = "short_fields"  # heads of many short fields, sent slowly
    LARGE_REQUESTS = "large_requests"  # as many open requests of the greatest size as are allowed
    NO_READING = "no_reading"  # the same without reading answers
    CROWD = "crowd"  # ask once and hold their connection


@dataclass(frozen=True)
class HostilePlan:
    """What a process of hostile clients is told."""

    kind: HostileKind
    address: tuple[str, int]
    connections: int  # of the kinds that use many
    until: float
    seed: int


class HostileClients:
    """Runs one kind of hostile client until the plan ends."""

    def __init__(self, plan: HostilePlan) -> None:
        self.plan, self.chance = plan, random.Random(f"{plan.kind.value} {plan.seed}")

    async def run(self) -> None:
        """Runs all connections of the kind."""
        play, connections = self._play()
        async with asyncio.timeout_at(
            asyncio.get_running_loop().time() + max(0.0, self.plan.until - time.monotonic())
        ):
            async with asyncio.TaskGroup() as group:
                for _ in range(connections):
                    group.create_task(self._repeat(play))

    def _play(self) -> tuple[Play, int]:
        """What each connection does, and the number of connections."""
        ping = messages.framed(b'{"jsonrpc":"2.0","id":1,"method":"ping"}') * MESSAGES_PER_WRITE
        invalid = messages.framed(b"[]") * MESSAGES_PER_WRITE
        large_requests = self._sender(self._large_requests(), batch_pause_s=0.05)
        many = self.plan.connections
        plays: dict[HostileKind, tuple[Play, int]] = {
            HostileKind.NEW_FUNCTIONS: (self._ask_new_functions, 1),
            HostileKind.FUNCTION_FLOOD: (self._sender(self._new_function_requests()), 1),
            HostileKind.PINGS: (self._sender(itertools.repeat(ping)), 1),
            HostileKind.INVALID: (self._sender(itertools.repeat(invalid)), 1),
            HostileKind.NEW_NAMES: (self._sender(self._new_names()), 1),
            HostileKind.OVERSIZE: (self._send_oversize, 1),
            HostileKind.CHURN: (self._open_and_close, CHURNING_CONNECTIONS),
            HostileKind.HALF_BODIES: (self._send_half_body, many),
            HostileKind.SHORT_FIELDS: (self._send_short_fields, many),
            HostileKind.LARGE_REQUESTS: (large_requests, many),
            HostileKind.NO_READING: (self._send_without_reading, many),
            HostileKind.CROWD: (self._hold, many),
        }
        return plays[self.plan.kind]

    async def _repeat(self, play: Play) -> None:
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                reader, opened = await asyncio.wait_for(
                    asyncio.open_connection(*self.plan.address, limit=READ_SIZE), CONNECT_TIMEOUT_S
                )
                writer = opened
                await play(reader, opened)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    # Messages

    def _request(self, number: int, argument: str = messages.SMALL_ARGUMENT) -> bytes:
        method = self.chance.choice((IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS))
        return messages.request(
            number,
            method,
            messages.new_id(self.chance),
            messages.new_id(self.chance),
            DEADLINE_MS[method],
            argument,
            k=messages.new_id(self.chance) * 16,
        )

    def _new_function_requests(self) -> Iterator[bytes]:
        number = 0
        while True:
            yield b"".join([self._request(number + each) for each in range(1, MESSAGES_PER_WRITE + 1)])
            number += MESSAGES_PER_WRITE

    def _large_requests(self) -> Iterator[bytes]:
        number = 0
        while True:
            requests = [
                self._request(number + each, messages.LARGEST_ARGUMENT)
                for each in range(1, OPEN_REQUESTS + 1)
            ]
            yield b"".join(requests)
            number += OPEN_REQUESTS

    def _new_names(self) -> Iterator[bytes]:
        number = 0
        while True:
            number += 1
            name = messages.new_id(self.chance) * 20
            extras = ";".join(f"{name}{each}:1" for each in range(20))
            yield messages.request(
                number, name, messages.new_id(self.chance), messages.new_id(self.chance), 1000
            )
            yield messages.request(
                number,
                IDEMPOTENT_CLASS,
                messages.new_id(self.chance),
                messages.new_id(self.chance),
                DEADLINE_MS[IDEMPOTENT_CLASS],
                **{name: name, "extras": extras},
            )

    # What one connection does

    def _sender(self, chunks: Iterator[bytes], batch_pause_s: float = 0.0) -> Play:
        """Sends all chunks as fast as the gateway takes them, and discards what it answers."""

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            discarding = asyncio.create_task(_discard(reader))
            try:
                for chunk in chunks:
                    writer.write(chunk)
                    await writer.drain()
                    await asyncio.sleep(batch_pause_s)
                    if discarding.done():
                        return
            finally:
                discarding.cancel()

        return play

    async def _ask_new_functions(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, open_count, answers = 0, 0, AnswerReader()
        while True:
            batch = []
            while open_count < OPEN_REQUESTS:
                number += 1
                open_count += 1
                batch.append(self._request(number))
            writer.write(b"".join(batch))
            data = await reader.read(READ_SIZE)
            if not data:
                return
            open_count -= len(answers.feed(data))

    async def _send_oversize(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(OVERSIZE_HEAD)
        for _ in range(60_000_000 // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()

    async def _open_and_close(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in range(1, self.chance.randrange(3) + 1):
            writer.write(self._request(number))
        await writer.drain()
        await asyncio.sleep(self.chance.choice((0, 0, 0.01)))

    async def _send_half_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HALF_BODY)
        await reader.read()

    async def _send_short_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not reader.at_eof():
            writer.write(SHORT_FIELD * 10)
            await writer.drain()
            await asyncio.sleep(0.01)

    async def _send_without_reading(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for chunk in self._large_requests():
            writer.write(chunk)
            await writer.drain()

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._request(1))
        await reader.read()


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(READ_SIZE):
            pass


def run_hostile_clients(plan: HostilePlan) -> None:
    """Runs the clients until the plan ends; the target of a process."""
    with suppress(TimeoutError):
        asyncio.run(HostileClients(plan).run())
