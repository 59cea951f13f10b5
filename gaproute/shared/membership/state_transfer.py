"""When one member is asked for the state of all members, chunk by chunk.

That is at the start, when a member that was held dead is back, and now and then. Each chunk is asked for when
the last one has come, so the source is never flooded.
"""

MILLI, SECOND = 1_000_000, 1_000_000_000

CHUNK_TIMEOUT = 300 * MILLI  # then the chunk is asked for again
MAX_ATTEMPTS = 6  # for one chunk, then another member is asked at once
INTERVAL = 300 * SECOND  # between two transfers where nothing calls for one: mends what updates missed
MIN_INTERVAL = 20 * SECOND  # between two starts: one healed partition brings back hundreds of members
CHUNKS_PER_PERIOD = 64  # sent to all that ask, at most: 80 kB a second; who asks for more waits
NEVER = -(1 << 62)


class StateTransfer:
    """The transfer under way, if any, and the chunks that this gateway sends to others."""

    def __init__(self) -> None:
        self.source: str | None = None  # the member that is asked
        self.position = 0  # of the chunk that is asked for
        self.requested_at, self.attempts = 0, 0
        self.started_at = self.finished_at = NEVER
        self.wanted = True
        self.completed = 0
        self.chunks_sent = 0  # in this period

    @property
    def due(self) -> int | None:
        """When a chunk is late, ns; None where none is awaited."""
        return None if self.source is None else self.requested_at + CHUNK_TIMEOUT

    def should_start(self, now: int) -> bool:
        """Whether a transfer is wanted now and none is under way."""
        if self.source is not None or now - self.started_at < MIN_INTERVAL:
            return False
        return self.wanted or now - self.finished_at >= INTERVAL

    def start(self, now: int, source: str) -> None:
        """The first chunk is asked for."""
        self.source, self.position = source, 0
        self.started_at = self.requested_at = now
        self.attempts = 0

    def chunk_received(self, now: int, sender: str, next_position: int) -> bool:
        """Takes note of a chunk; `next_position`: 0 in the last. Returns whether to ask for the next."""
        if sender != self.source or 0 < next_position <= self.position:
            return False
        if next_position == 0:
            self.source, self.wanted, self.finished_at = None, False, now
            self.completed += 1
            return False
        self.position, self.requested_at, self.attempts = next_position, now, 0
        return True

    def should_retry(self, now: int) -> bool:
        """Whether to ask for the same chunk again; after the last attempt the source is given up."""
        if self.source is None or now < self.requested_at + CHUNK_TIMEOUT:
            return False
        self.attempts, self.requested_at = self.attempts + 1, now
        if self.attempts >= MAX_ATTEMPTS:
            self.source, self.wanted, self.started_at = None, True, NEVER
        return self.source is not None

    def restart_timeout(self, now: int) -> None:
        """The chunk awaited counts as asked for now, as this gateway was stalled and may not have read it."""
        self.requested_at = now

    def start_period(self) -> None:
        """Chunks may be sent again."""
        self.chunks_sent = 0

    def may_send_chunk(self) -> bool:
        """Counts a chunk that another member asks for; whether it is within the bound of this period."""
        self.chunks_sent += 1
        return self.chunks_sent <= CHUNKS_PER_PERIOD
