"""Sends the observations of this gateway to others, in chunks.

A snapshot is read in parts, each from where the last answer stopped, so that no answer takes longer than its
slice of CPU time. Later changes are requested by the mark in the snapshot's last answer. Times are ns.
"""

import secrets
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from gaproute.decisions.reports.cpu_budget import SLICE_CPU_TIME
from gaproute.decisions.reports.exchange_limits import MAX_CHUNK_NAME_BYTES, MAX_CHUNK_OBSERVATIONS
from gaproute.decisions.reports.host_history import (
    SINCE_EVER,
    HostHistory,
    OwnObservation,
    own_observations,
)
from gaproute.decisions.reports.ports import ObservationSource
from gaproute.peers import lore_pb2, observation_wire
from gaproute.peers.observation_messages import ObservationRequest
from gaproute.units import MICRO, MILLI

MAX_STORED_TRANSFERS = 16  # stored for peers; a peer that asks for an older one must begin again
MAX_STORED_CHUNK_BYTES = 4 << 20  # of all stored chunks
# For so long after its begin, a snapshot is also sent to other gateways that have just started: after a
# restart of all gateways these are many
SNAPSHOT_SHARING_TIME = 250 * MILLI
CURSORS_PER_TRANSFER = 1 << 20  # a cursor is the transfer's number times this, plus the number of the chunk
RUN_ID_BITS = 63


class Chunk(NamedTuple):
    """Some observations, encoded."""

    built_at: int
    data: bytes


class Transfer:
    """A snapshot, or the changes since a mark, read as far as it was requested."""

    def __init__(self, started_at: int, observations: Iterator[OwnObservation], *, is_snapshot: bool) -> None:
        self.started_at, self.observations, self.is_snapshot = started_at, observations, is_snapshot
        self.chunks: list[Chunk] = []
        self.chunk_bytes = 0  # of all chunks
        self.fully_read = False  # whether everything was read

    def has_chunk_after(self, position: int) -> bool:
        """Whether another chunk follows the one at the position."""
        return not self.fully_read or position + 1 < len(self.chunks)

    def can_serve(self, position: int) -> bool:
        """Whether the chunk at the position exists, or is the next one to read."""
        is_next = position == len(self.chunks) and not self.fully_read
        return position < len(self.chunks) or is_next

    def append(self, chunk: Chunk) -> None:
        """Stores a chunk."""
        self.chunks.append(chunk)
        self.chunk_bytes += len(chunk.data)


class ObservationTransfers:
    """Answers requests for observations, chunk by chunk.

    `gateway`: the decisions whose observations are sent; `request_classes`: their names; `cpu_clock`: CPU
    time so far, ns.
    """

    def __init__(
        self,
        gateway: ObservationSource,
        history: HostHistory,
        request_classes: Sequence[str],
        cpu_clock: Callable[[], int],
    ) -> None:
        self.run_id = secrets.randbits(RUN_ID_BITS) | 1  # the marks are times of this process's clock
        self.transfers: dict[int, Transfer] = {}  # by number
        self.encoded_observations = 0  # number of observations
        self.gateway, self._history, self._request_classes = gateway, history, request_classes
        self._cpu_clock = cpu_clock
        self._last_transfer_number = 0

    def answer(self, now: int, request: ObservationRequest, cpu_time_at_start: int) -> bytes:
        """The requested chunk, encoded, with what the requesting gateway needs for the next request.

        `cpu_time_at_start`: when work on the request began, by the CPU clock.
        """
        number, position = divmod(request.cursor, CURSORS_PER_TRANSFER)
        transfer = self.transfers.get(number)
        if transfer is None or not transfer.can_serve(position):
            since = request.mark if request.life == self.run_id else SINCE_EVER
            number, position = self._find_or_start_transfer(now, since), 0
            transfer = self.transfers[number]
        if position == len(transfer.chunks):
            self._read_chunk(now, transfer, cpu_time_at_start)
        chunk = transfer.chunks[position]
        more = transfer.has_chunk_after(position)
        tail = lore_pb2.Told(
            next=number * CURSORS_PER_TRANSFER + position + 1 if more else 0,
            held_us=(now - chunk.built_at) // MICRO,
        )
        # Protobuf messages that follow one another are one message, so the chunk need not be encoded again.
        data: bytes = chunk.data + tail.SerializeToString()
        return data

    def _find_or_start_transfer(self, now: int, since: int) -> int:
        """Returns the number of a transfer of the changes since that time, or of a snapshot."""
        is_snapshot = since == SINCE_EVER
        if is_snapshot:
            recent = self._shareable_snapshot(now)
            if recent is not None:
                return recent
        observations = own_observations(self.gateway, self._history, self._request_classes, now, since)
        self._last_transfer_number += 1
        self.transfers[self._last_transfer_number] = Transfer(now, observations, is_snapshot=is_snapshot)
        self._drop_oldest_transfers()
        return self._last_transfer_number

    def _shareable_snapshot(self, now: int) -> int | None:
        """The number of a snapshot that began so lately that other gateways get it too; None if none did."""
        for number, transfer in self.transfers.items():
            if transfer.is_snapshot and now - transfer.started_at <= SNAPSHOT_SHARING_TIME:
                return number
        return None

    def _drop_oldest_transfers(self) -> None:
        """Drops the oldest transfers above the limits, but never the newest."""
        while len(self.transfers) > 1 and (
            len(self.transfers) > MAX_STORED_TRANSFERS
            or sum(transfer.chunk_bytes for transfer in self.transfers.values()) > MAX_STORED_CHUNK_BYTES
        ):
            del self.transfers[next(iter(self.transfers))]

    def _read_chunk(self, now: int, transfer: Transfer, cpu_time_at_start: int) -> None:
        """Reads observations until the chunk is full or the slice of CPU time is spent."""
        answer = lore_pb2.Told(
            version=observation_wire.PROTOCOL_VERSION, life=self.run_id, mark=transfer.started_at
        )
        names_length = 0
        for count, (subject, value, observed_at) in enumerate(transfer.observations, 1):
            names_length += observation_wire.add_observation(answer, subject, value, now - observed_at)
            self.encoded_observations += 1
            if count >= MAX_CHUNK_OBSERVATIONS or names_length > MAX_CHUNK_NAME_BYTES:
                break
            if self._cpu_clock() - cpu_time_at_start > SLICE_CPU_TIME:
                break
        else:
            transfer.fully_read = True
        transfer.append(Chunk(now, bytes(answer.SerializeToString())))
