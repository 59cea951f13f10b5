"""Who comes in at admission and who must leave: decisions only, no sockets, the clock and the chance handed
in.

Connections of clients wait in three lines: those that speak and spoke before (known), those that speak for
the first time (fresh), and those that ask to be accepted (arriving). Work in hand comes before all three;
what is left of each turn is shared here.
"""

MILLI, SECOND = 1_000_000, 1_000_000_000

ADMISSION_TIME = 3 * MILLI  # of each turn at most for what waits there: tasks in hand wait no longer
KNOWN_SHARE = 3  # of each 4 turns at admission go to the known while others wait: after a power cut
#                          the district that comes back is fresh; those that stayed must not wait behind
FRESH_MOST = 512  # fresh ones that wait before no more are accepted: the kernel's queue holds the
#                          rest, and what is accepted is served within a second
SPARE = 2 * SECOND  # idle for less, none is closed for another's sake: newcomers must not close
#                          each other
SAMPLE = 64  # of the idle longest, among which the least valuable is picked
FULL = 0.95  # of the connections allowed from which on answers say that the connection closes
JITTER = 0.1  # of the idle time, added by chance: what came at one moment must not close at one
RESERVE = 64  # descriptors that clients can never take: lists, logs, operators, peers, taking over
HOSTS_SHARE = 0.03  # of all descriptors kept for connections to hosts: 600 of the usual 20,000

SHORT = 8  # idle ones closed each time that no descriptor is to be had: what failed is tried
#                          again some 100 ms later, and as many may come meanwhile
RESTED = 100 * MILLI  # the same where clients send once more what crosses a close: the house must hold
#                          those at work, and one that rests makes room for a request that is there
HOLD = 10 * MILLI  # until a full house looks again for one that rests: a tenth of the rest asked for
WAY_BACK = 12 * MILLI  # of a client's time kept for the final answer: a turn of a busy loop and the way

TAKE, DISPLACE, TURN_AWAY = "take", "displace", "turn away"
KNOWN, FRESH, ARRIVING = "known", "fresh", "arriving"


def way_back():
    """How much of a client's time is kept for its final answer to leave and arrive."""
    return WAY_BACK


class Admission:
    """`most`: connections of clients that the operator allows; `descriptors`: the process's limit."""

    def __init__(self, most, per_address, descriptors, chance, spare=SPARE, patient=False, reserve=None):
        """`reserve`: descriptors that clients can never take, where others have shares of their own.
        `spare`: rest from which a parked connection may make room; less where clients ask again.
        `patient`: arrivals at a full house wait in the kernel's queue, where no rested one makes room."""
        self.spare, self.patient = spare, patient
        self.reserve = RESERVE + int(HOSTS_SHARE * descriptors) if reserve is None else reserve
        self.most = max(1, min(most, descriptors - self.reserve))
        self.per_address, self.chance = per_address, chance
        self.turn = 0

    def next(self, known, fresh, arriving):
        """Whose turn it is, by how many wait in each line; None: nobody waits."""
        arriving = arriving and fresh < FRESH_MOST
        self.turn = (self.turn + 1) % (KNOWN_SHARE + 1)
        if known and (self.turn or not (fresh or arriving)):
            return KNOWN
        # Those already accepted before new ones, in turn with them: an accept costs less than an answer.
        if fresh and (not arriving or self.chance.below(2)):
            return FRESH
        return ARRIVING if arriving else KNOWN if known else None

    def admit(self, held, of_address, spare):
        """Of an arrival, with `held` connections of clients, so many of its address; `spare`: whether one
        may be displaced."""
        if of_address >= self.per_address:
            return TURN_AWAY
        if held < self.most:
            return TAKE
        return DISPLACE if spare else TURN_AWAY

    def victim(self, now, idle):
        """Which idle connection goes, of [(descriptor, idle since, tasks it brought)]; None: none may.

        The least valuable: the fewest tasks, then the longest idle.
        """
        spare = [(tasks, since, fd) for fd, since, tasks in idle if now - since >= self.spare]
        return min(spare)[2] if spare else None

    def oldest(self, now, idle):
        """Those that go where no descriptor is to be had, of [(descriptor, idle since, tasks it brought)]."""
        return [
            fd for _, fd in sorted((since, fd) for fd, since, _ in idle if now - since >= self.spare)[:SHORT]
        ]

    def says_close(self, held):
        """Whether answers say that the connection closes: so that a full house empties where that is safe."""
        return held >= FULL * self.most

    def idle_end(self, now, idle, spread=JITTER):
        """When a connection that is idle from now on is closed; never before its idle time."""
        return now + idle + int(idle * spread * self.chance.below(1 << 20) / (1 << 20))
