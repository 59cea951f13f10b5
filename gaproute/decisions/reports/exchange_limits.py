"""How peers are asked and written down: bounds and paces of telling."""

MILLI, SECOND = 1_000_000, 1_000_000_000

CHUNK, CHUNK_BYTES = 256, 16_384  # facts, and bytes of names, in one answer
CHUNKS = 1024  # answers that one giver is heard for at most: it cannot hold a learner for ever
ANSWER = 1 << 20  # bytes of one answer at most
ANSWER_TIME = 500 * MILLI  # for one answer; a peer that is slower is dropped
LEARN_TIME = 5 * SECOND  # from the start on: later, own traffic tells more than any peer
CHANGES = 250 * MILLI  # between asks for what changed: a tenth of the time in which a busy copy is reused
TRIES, TRY_AGAIN = 8, 500 * MILLI  # for a peer that is not there yet: both sides may have been restarted
ASKED = 4  # peers asked at once: further ones tell mostly the same
KEEP_EVERY = 500 * MILLI  # between writes to the memory on disk: what a kill loses is half a second
KEEP_WHOLE = 10  # of them one is of the whole, for the figures that have no time of their own
