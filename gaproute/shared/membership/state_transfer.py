"""Decides when this gateway requests the complete member table from one other member, chunk by chunk.

A transfer starts when the gateway starts, when a dead member is alive again, and at long intervals. The
gateway requests a chunk only after it has received the previous chunk, so it never floods the source.
"""

from gaproute.units import MILLI, SECOND

CHUNK_TIMEOUT = 300 * MILLI  # until a chunk is requested again
MAX_CHUNK_ATTEMPTS = 6  # after these, a transfer starts anew with the next member that answers a probe
TRANSFER_INTERVAL = 300 * SECOND  # between regular transfers, which repair missed updates
# Between the starts of two transfers, as hundreds of members are alive again after one partition heals
MIN_TRANSFER_INTERVAL = 20 * SECOND
# Chunks sent to other members, 80 kB per second; further requests are not answered, so their senders must
# repeat them
MAX_CHUNKS_PER_PERIOD = 64
NEVER = -(1 << 62)


class StateTransfer:
    """The transfer in progress, if any, and the limit on chunks that this gateway sends to other members."""

    def __init__(self) -> None:
        self.source_name: str | None = None  # the member that sends the chunks; None without a transfer
        self.position = 0  # of the requested chunk in the source's member table
        self.requested_at, self.attempts = 0, 0
        self.started_at = self.finished_at = NEVER
        self.is_wanted = True
        self.completed_count = 0
        self.chunk_request_count = 0  # received in this period

    @property
    def due(self) -> int | None:
        """The time when the requested chunk is late, ns; None without a transfer."""
        return None if self.source_name is None else self.requested_at + CHUNK_TIMEOUT

    def should_start(self, now: int) -> bool:
        """Whether a transfer should start now; False while one is in progress."""
        if self.source_name is not None or now - self.started_at < MIN_TRANSFER_INTERVAL:
            return False
        return self.is_wanted or now - self.finished_at >= TRANSFER_INTERVAL

    def start(self, now: int, source_name: str) -> None:
        """Starts a transfer at the first chunk."""
        self.source_name, self.position = source_name, 0
        self.started_at = self.requested_at = now
        self.attempts = 0

    def record_chunk(self, now: int, sender: str, next_position: int) -> bool:
        """Records a chunk; returns whether to request the next. `next_position`: 0 in the last chunk."""
        if sender != self.source_name or 0 < next_position <= self.position:
            return False
        if next_position == 0:
            self.source_name, self.is_wanted, self.finished_at = None, False, now
            self.completed_count += 1
            return False
        self.position, self.requested_at, self.attempts = next_position, now, 0
        return True

    def begin_retry(self, now: int) -> bool:
        """Starts another attempt if the chunk is late; returns whether to request the chunk again.

        After the last attempt the transfer ends.
        """
        if self.source_name is None or now < self.requested_at + CHUNK_TIMEOUT:
            return False
        self.attempts, self.requested_at = self.attempts + 1, now
        if self.attempts >= MAX_CHUNK_ATTEMPTS:
            self.source_name, self.is_wanted, self.started_at = None, True, NEVER
        return self.source_name is not None

    def restart_timeout(self, now: int) -> None:
        """Restarts the timeout of the requested chunk after a stall, as the chunk may be unread."""
        self.requested_at = now

    def start_period(self) -> None:
        """Begins a period, which has its own limit on chunks."""
        self.chunk_request_count = 0

    def admit_chunk_request(self) -> bool:
        """Counts a chunk request of another member; returns whether it is within the limit of the period."""
        self.chunk_request_count += 1
        return self.chunk_request_count <= MAX_CHUNKS_PER_PERIOD
