"""Sends the observations of this gateway to other gateways, in chunks.

A snapshot is read lazily: each answer continues where the previous one stopped, so that no answer takes
longer than its slice of CPU time. A peer requests later changes with the mark that the answers carry. Times
are ns.
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
from gaproute.peers import observation_pb2, observation_wire
from gaproute.peers.observation_messages import ObservationRequest
from gaproute.units import MICRO, MILLI

MAX_STORED_TRANSFERS = 16  # a peer that requests a chunk of a dropped transfer gets a new transfer
MAX_STORED_CHUNK_BYTES = 4 << 20  # encoded size of the chunks of all stored transfers
# A snapshot is shared by all peers that request one within this time after it was started, because many
# gateways request a snapshot at once after a restart of the whole fleet.
SNAPSHOT_SHARING_TIME = 250 * MILLI
CURSORS_PER_TRANSFER = 1 << 20  # a cursor is the transfer number times this, plus the chunk number
RUN_ID_BITS = 63


class Chunk(NamedTuple):
    """Observations that are encoded together, and the time at which they were encoded."""

    built_at: int
    data: bytes


class Transfer:
    """A snapshot, or the changes since a mark; chunks are encoded when they are first requested."""

    def __init__(self, started_at: int, observations: Iterator[OwnObservation], *, is_snapshot: bool) -> None:
        self.started_at, self.observations, self.is_snapshot = started_at, observations, is_snapshot
        self.chunks: list[Chunk] = []
        self.chunk_bytes = 0  # encoded size of all chunks
        self.fully_read = False  # whether `observations` is exhausted

    def has_chunk_after(self, position: int) -> bool:
        """Whether another chunk follows the one at the position."""
        return not self.fully_read or position + 1 < len(self.chunks)

    def can_serve(self, position: int) -> bool:
        """Whether the chunk at the position is stored, or is the next one to be read."""
        is_next = position == len(self.chunks) and not self.fully_read
        return position < len(self.chunks) or is_next

    def append(self, chunk: Chunk) -> None:
        """Stores the next chunk."""
        self.chunks.append(chunk)
        self.chunk_bytes += len(chunk.data)


class ObservationTransfers:
    """Answers requests for observations, chunk by chunk.

    `gateway` supplies the observations of this gateway's decisions, `request_classes` has the names of the
    request classes, and `cpu_clock` returns the CPU time used so far.
    """

    def __init__(
        self,
        gateway: ObservationSource,
        history: HostHistory,
        request_classes: Sequence[str],
        cpu_clock: Callable[[], int],
    ) -> None:
        self.run_id = secrets.randbits(RUN_ID_BITS) | 1  # marks are times on this process's clock
        self.transfers: dict[int, Transfer] = {}  # by transfer number
        self.encoded_observations = 0  # number of observations encoded so far
        self.gateway, self._history, self._request_classes = gateway, history, request_classes
        self._cpu_clock = cpu_clock
        self._last_transfer_number = 0

    def answer(self, now: int, request: ObservationRequest, cpu_time_at_start: int) -> bytes:
        """Encodes the requested chunk, with the time since it was built and the cursor of the next chunk.

        `cpu_time_at_start`: reading of `cpu_clock` when work on the request started.
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
        tail = observation_pb2.Told(
            next=number * CURSORS_PER_TRANSFER + position + 1 if more else 0,
            held_us=(now - chunk.built_at) // MICRO,
        )
        # Concatenated protobuf messages decode as one merged message, so the chunk need not be encoded again.
        data: bytes = chunk.data + tail.SerializeToString()
        return data

    def _find_or_start_transfer(self, now: int, since: int) -> int:
        """Returns the number of a transfer of the changes since that time; of a snapshot for `SINCE_EVER`."""
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
        """The number of a snapshot recent enough to be shared with another peer; None if there is none."""
        for number, transfer in self.transfers.items():
            if transfer.is_snapshot and now - transfer.started_at <= SNAPSHOT_SHARING_TIME:
                return number
        return None

    def _drop_oldest_transfers(self) -> None:
        """Drops the oldest transfers until the limits are met, but never the newest transfer."""
        while len(self.transfers) > 1 and (
            len(self.transfers) > MAX_STORED_TRANSFERS
            or sum(transfer.chunk_bytes for transfer in self.transfers.values()) > MAX_STORED_CHUNK_BYTES
        ):
            del self.transfers[next(iter(self.transfers))]

    def _read_chunk(self, now: int, transfer: Transfer, cpu_time_at_start: int) -> None:
        """Encodes the next chunk, until it is full or the slice of CPU time is spent."""
        answer = observation_pb2.Told(
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
