"""What this gateway observed, sent to others in chunks.

A snapshot is read on from where the last answer stopped, function by function, so that no answer takes longer
than its slice however much is known. What changed since is asked for by the mark of the snapshot's answer.
Times are in ns.
"""

import secrets
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

from gaproute.decisions.reports.cpu_budget import SLICE
from gaproute.decisions.reports.exchange_limits import MAX_CHUNK_NAME_BYTES, MAX_CHUNK_OBSERVATIONS
from gaproute.decisions.reports.host_history import (
    EVERYTHING,
    HostHistory,
    OwnObservation,
    own_observations,
)
from gaproute.peers import lore_pb2, observation_wire

MILLI = 1_000_000

MAX_TRANSFERS = 16  # kept for peers; one that comes back for an older one begins anew
MAX_CHUNK_BYTES = 4 << 20  # of chunks kept for them
SHARED_TIME = 250 * MILLI  # after it began, a snapshot is given to others that begin: after a restart of all
#                            many do
CURSOR_BASE = 1 << 20  # a cursor is the transfer's number times this, plus the chunk's
RUN_ID_BITS = 63


class Chunk(NamedTuple):
    """Some observations as they were encoded."""

    built_at: int
    data: bytes


class Transfer:
    """A snapshot, or what changed since a mark; read as far as it was asked for."""

    def __init__(self, begun_at: int, observations: Iterator[OwnObservation], *, whole: bool) -> None:
        self.begun_at, self.observations, self.whole = begun_at, observations, whole
        self.chunks: list[Chunk] = []
        self.bytes = 0  # of the chunks
        self.ended = False  # nothing is left to be read

    def has_more_after(self, position: int) -> bool:
        """Whether another chunk follows that one."""
        return not self.ended or position + 1 < len(self.chunks)

    def can_give(self, position: int) -> bool:
        """Whether the chunk at the position is there or comes next."""
        return position < len(self.chunks) or position == len(self.chunks) and not self.ended

    def append(self, chunk: Chunk) -> None:
        """Keeps a chunk that was read."""
        self.chunks.append(chunk)
        self.bytes += len(chunk.data)


class ObservationTransfers:
    """Answers requests for observations, chunk by chunk.

    `gateway`: the decisions, which tell what they know; `request_classes`: their names; `cpu_clock`: CPU
    spent so far, ns.
    """

    def __init__(
        self,
        gateway: Any,
        history: HostHistory,
        request_classes: Sequence[str],
        cpu_clock: Callable[[], int],
    ) -> None:
        self.run_id = secrets.randbits(RUN_ID_BITS) | 1  # the marks are of this process's clock alone
        self.transfers: dict[int, Transfer] = {}  # by number
        self.encoded = 0  # observations
        self.gateway, self._history, self._request_classes = gateway, history, request_classes
        self._cpu_clock = cpu_clock
        self._last_number = 0

    def answer(self, now: int, request: observation_wire.Request, begun: int) -> bytes:
        """The chunk asked for as it was built, with what the asker must know beside it.

        `begun`: when work on the request began, by the CPU clock.
        """
        number, position = divmod(request.cursor, CURSOR_BASE)
        transfer = self.transfers.get(number)
        if transfer is None or not transfer.can_give(position):
            since = request.mark if request.life == self.run_id else EVERYTHING
            number, position = self._begin(now, since), 0
            transfer = self.transfers[number]
        if position == len(transfer.chunks):
            self._read_chunk(now, transfer, begun)
        chunk = transfer.chunks[position]
        more = transfer.has_more_after(position)
        tail = lore_pb2.Told(
            next=number * CURSOR_BASE + position + 1 if more else 0,
            held_us=(now - chunk.built_at) // observation_wire.MICROSECOND,
        )
        # Serialized messages that follow one another are one message: the chunk need not be built again.
        data: bytes = chunk.data + tail.SerializeToString()
        return data

    def _begin(self, now: int, since: int) -> int:
        """The number of a transfer of what came since then, or of a whole one that was begun just now."""
        whole = since < 0
        if whole:
            shared = self._shared(now)
            if shared is not None:
                return shared
        observations = own_observations(self.gateway, self._history, self._request_classes, now, since)
        self._last_number += 1
        self.transfers[self._last_number] = Transfer(now, observations, whole=whole)
        self._drop_oldest()
        return self._last_number

    def _shared(self, now: int) -> int | None:
        for number, transfer in self.transfers.items():
            if transfer.whole and now - transfer.begun_at <= SHARED_TIME:
                return number
        return None

    def _drop_oldest(self) -> None:
        """Keeps the bounds; the newest transfer stays in any case."""
        while len(self.transfers) > 1 and (
            len(self.transfers) > MAX_TRANSFERS
            or sum(transfer.bytes for transfer in self.transfers.values()) > MAX_CHUNK_BYTES
        ):
            del self.transfers[next(iter(self.transfers))]

    def _read_chunk(self, now: int, transfer: Transfer, begun: int) -> None:
        """Reads on until the chunk is full or the slice of CPU is spent."""
        answer = lore_pb2.Told(version=observation_wire.VERSION, life=self.run_id, mark=transfer.begun_at)
        names = 0
        for count, (subject, value, observed_at) in enumerate(transfer.observations, 1):
            names += observation_wire.add_observation(answer, subject, value, now - observed_at)
            self.encoded += 1
            if count >= MAX_CHUNK_OBSERVATIONS or names > MAX_CHUNK_NAME_BYTES:
                break
            if self._cpu_clock() - begun > SLICE:
                break
        else:
            transfer.ended = True
        transfer.append(Chunk(now, bytes(answer.SerializeToString())))
