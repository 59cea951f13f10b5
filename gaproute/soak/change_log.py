"""The change log of a soak: server-sent events after those that the configuration holds."""

from __future__ import annotations

import asyncio
import json
from enum import Enum

from gaproute.soak.deployment import member_names
from gaproute.standins.event_stream import COMMENT, RESPONSE_HEAD, last_event_id

COMMENT_INTERVAL_S = 1.0
EVENT_INTERVAL_S = 0.05  # between events of a change log that tells ever-new hosts
MEMBERS_PER_EVENT = 100
LONG_LINE_PIECE = b"x" * 65536
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class ChangeLogFault(Enum):
    """What the change log does wrong."""

    NONE = "none"
    NEW_HOSTS = "new_hosts"  # ever-new hosts that drain, each with a zone of its own
    ENDLESS_EVENT = "endless_event"  # an event without an end


class ChangeLog:
    """Serves the connections of one gateway; events are numbered from 2 on."""

    def __init__(self, fault: ChangeLogFault, seed: int) -> None:
        self.fault, self.names = fault, member_names()
        self.prefix = f"{seed:x}"
        self.sequence_number = 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the request of one connection until the gateway ends it."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.sequence_number = max(1, int(last_event_id(head) or b"1"))
            writer.write(RESPONSE_HEAD)
            while True:
                await self._tell(writer)
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            writer.close()

    async def _tell(self, writer: asyncio.StreamWriter) -> None:
        match self.fault:
            case ChangeLogFault.NONE:
                writer.write(COMMENT)
                await asyncio.sleep(COMMENT_INTERVAL_S)
            case ChangeLogFault.NEW_HOSTS:
                writer.write(COMMENT + self._new_hosts())
                await asyncio.sleep(EVENT_INTERVAL_S)
            case ChangeLogFault.ENDLESS_EVENT:
                writer.write(b"data: ")
                while True:
                    writer.write(LONG_LINE_PIECE)
                    await writer.drain()

    def _new_hosts(self) -> bytes:
        self.sequence_number += 1
        members = []
        for _ in range(MEMBERS_PER_EVENT):
            name = f"{self.prefix}-{next(self.names)}"
            members.append(
                {
                    "id": name,
                    "host_port": "127.0.0.1:9",
                    "locality": f"zone-{name}",
                    "flavor": "std",
                    "cell": 2,
                    "phase": "Terminating",
                    "size": 4,
                    "up_since_ms": 0,
                }
            )
        number = self.sequence_number
        event = {"seq": number, "fleet": {"revision": number, "complete": False, "members": members}}
        return b"id: %d\ndata: %b\n\n" % (number, json.dumps(event).encode())
