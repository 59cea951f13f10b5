"""Decides when the state of all members is requested from one member, chunk by chunk.

That is at the start, when a member that counted as dead is back, and at long intervals. Each chunk is
requested when the last one has come, so that the source is never flooded.
"""

from gaproute.units import MILLI, SECOND

CHUNK_TIMEOUT = 300 * MILLI  # after which the chunk is requested again
MAX_CHUNK_ATTEMPTS = 6  # for one chunk, after which another member is asked
TRANSFER_INTERVAL = 300 * SECOND  # between two transfers without a reason, which repair what updates missed
# Between two starts, as one healed partition brings back hundreds of members
MIN_TRANSFER_INTERVAL = 20 * SECOND
MAX_CHUNKS_PER_PERIOD = 64  # sent at most in a period, 80 kB per second; further requests must wait
NEVER = -(1 << 62)


class StateTransfer:
    """The transfer in progress, if any, and the chunks that this gateway sends to others."""

    def __init__(self) -> None:
        self.source_name: str | None = None  # the member that is asked
        self.position = 0  # of the chunk that is requested
        self.requested_at, self.attempts = 0, 0
        self.started_at = self.finished_at = NEVER
        self.is_wanted = True
        self.completed_count = 0
        self.chunk_request_count = 0  # in this period

    @property
    def due(self) -> int | None:
        """When a chunk is late, ns; None if none is awaited."""
        return None if self.source_name is None else self.requested_at + CHUNK_TIMEOUT

    def should_start(self, now: int) -> bool:
        """Whether a transfer should start now; False while one is in progress."""
        if self.source_name is not None or now - self.started_at < MIN_TRANSFER_INTERVAL:
            return False
        return self.is_wanted or now - self.finished_at >= TRANSFER_INTERVAL

    def start(self, now: int, source_name: str) -> None:
        """Starts a transfer; its first chunk is requested."""
        self.source_name, self.position = source_name, 0
        self.started_at = self.requested_at = now
        self.attempts = 0

    def record_chunk(self, now: int, sender: str, next_position: int) -> bool:
        """Notes a chunk; `next_position`: 0 in the last one. Returns whether to request the next chunk."""
        if sender != self.source_name or 0 < next_position <= self.position:
            return False
        if next_position == 0:
            self.source_name, self.is_wanted, self.finished_at = None, False, now
            self.completed_count += 1
            return False
        self.position, self.requested_at, self.attempts = next_position, now, 0
        return True

    def begin_retry(self, now: int) -> bool:
        """Whether to request the same chunk again; after the last attempt the transfer ends."""
        if self.source_name is None or now < self.requested_at + CHUNK_TIMEOUT:
            return False
        self.attempts, self.requested_at = self.attempts + 1, now
        if self.attempts >= MAX_CHUNK_ATTEMPTS:
            self.source_name, self.is_wanted, self.started_at = None, True, NEVER
        return self.source_name is not None

    def restart_timeout(self, now: int) -> None:
        """Restarts the timeout of the awaited chunk, as this gateway was stalled and may not have read it."""
        self.requested_at = now

    def start_period(self) -> None:
        """Begins a period, in which chunks may be sent again."""
        self.chunk_request_count = 0

    def admit_chunk_request(self) -> bool:
        """Counts a chunk that another member requests; returns whether it is within the limit of this
        period.
        """
        self.chunk_request_count += 1
        return self.chunk_request_count <= MAX_CHUNKS_PER_PERIOD
