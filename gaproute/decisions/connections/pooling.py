"""Which kept connection a relay may go out on: decisions only, no sockets, the clock handed in.

A host may close an idle connection at the very moment at which a task goes out on it. The bytes are handed
over then, so nothing proves that the task did not run: a pure one goes again, an effectful one must be
scrapped. A connection that rested only a moment is safe, as hosts close what has rested long. So a task that
must not run twice takes a connection that rested much less than any host was seen or told to close after,
else a new one, which costs a handshake. `docs/connections.md` has the other ways considered and the
measurement.
"""

from collections import deque

from gaproute.interface import Idempotency

MILLI, SECOND = 1_000_000, 1_000_000_000

CALM = 500 * MILLI  # rest after which a connection is not trusted with an effectful task: shorter than
#                          the idle time of any common server (1 s and more), long beside gaps under load
LONGEST = 20 * SECOND  # rest after which none is used: most servers close between 5 and 75 s
SHARE = 0.5  # of the shortest rest after which this host closed one, unasked
TOLD_SHARE = 0.9  # of the rest that the host says it keeps one for, for a pure task: one that crosses
#                          the close goes again; a handshake saved is worth more
TOLD_CALM = 0.25  # the same for an effectful one: far from the close, whatever the clocks and loads
SEEN = 8  # closings remembered for each host
SILENCE = SECOND  # nothing heard on a connection for so long when a request on it is given up: answers
#                          take a few tenths, loads longer; a false one costs a handshake
AT_USE = 50 * MILLI  # within it after a request was sent, unanswered, a connection ended as it was stale:
#                          a process that dies at work ends all of them at any time
STALE_LIFE = 10 * SECOND  # such an end says nothing after it: kept connections are tried again
STALE_MOST = 1  # of the last SEEN kept ones at a host: above it, pure tasks too take new connections
CARRIED = 64  # requests of a connection that may yet be answered once more, until it takes no
#                          further one: a long life would hold all their ids. A handshake for 64 is little
FORGET = 300 * SECOND  # a closing seen so long ago says nothing: the host may have been set up anew


CLIENTS_SHARE = 0.5  # of the descriptors for clients' connections: they hold a third, and open others
#                          while the last ones have not ended; hosts were seen to need a quarter at most
OWN = 24  # descriptors for the log, the epolls, the listener, signals and a few to spare


def share_out(descriptors):
    """(connections of clients, connections to hosts) that the descriptors allow."""
    clients = int(CLIENTS_SHARE * descriptors)
    return clients, max(1, descriptors - clients - OWN)


class Pooling:
    def __init__(self):
        self.closings = {}  # worker: (time, how long the connection had rested)
        self.stale = {}  # worker: when kept connections ended at their next use

    def closed(self, now, worker, rested):
        """The host closed a connection that had rested so long."""
        self.closings.setdefault(worker, deque(maxlen=SEEN)).append((now, rested))

    def gone(self, worker):
        self.closings.pop(worker, None)
        self.stale.pop(worker, None)

    def ended(self, now, worker, rested, since):
        """A kept connection ended under a request that nothing had answered, so long after it was sent."""
        if rested >= 0 and since < AT_USE:
            self.stale.setdefault(worker, deque(maxlen=SEEN)).append(now)

    def keeps(self, now, worker, effect):
        """Whether kept connections to that worker may be used at all.

        Guards against hosts, and what stands before them, that end a kept connection at its next use: a pure
        task loses a round trip there and an effectful one all. Harms, by a handshake a task, where a few died
        by chance.
        """
        if (
            effect is not Idempotency.IDEMPOTENT
        ):  # one host's is enough: what ends them stands before all hosts
            return not any(times and now - times[-1] < STALE_LIFE for times in self.stale.values())
        return sum([now - at < STALE_LIFE for at in self.stale.get(worker, ())]) <= STALE_MOST

    def safe_rest(self, now, worker, effect, told):
        """How long a connection may have rested to be used; `told` is what the host says it keeps one, or
        None."""
        seen = [rested for at, rested in self.closings.get(worker, ()) if now - at < FORGET]
        longest = LONGEST if effect is Idempotency.IDEMPOTENT else CALM
        if told is not None:
            longest = min(
                LONGEST, int(told * (TOLD_SHARE if effect is Idempotency.IDEMPOTENT else TOLD_CALM))
            )
        return min(longest, int(min(seen) * SHARE)) if seen else longest

    # Connections that carry several requests at once

    def silent(self, now, since):
        """Whether a request given up was met by a silence that says that its connection is dead."""
        return now - since > SILENCE

    def pick(self, now, worker, effect, links, name, most, told):
        """The connection for a request of that id, or None for a new one; one with requests open is only a
        second choice, for where no new one can be had.

        One relay a connection as long as they last: a spoilt answer or a reset ends all that is on it. Never
        one that has carried the id before: a late answer to that would be taken for this one's.
        """
        free, shared = None, None
        if not self.keeps(now, worker, effect):
            told = 0
        for link in links:
            if (
                not link.reusable
                or name in link.pending
                or name in link.retired_ids
                or len(link.retired_ids) >= CARRIED
            ):
                continue
            if not link.pending:
                if (
                    free is None or link.last_used > free.last_used
                ) and now - link.last_used <= self.safe_rest(now, worker, effect, told):
                    free = link
            elif len(link.pending) < most and (shared is None or len(link.pending) < len(shared.pending)):
                shared = link
        return free or shared
