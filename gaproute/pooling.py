"""Which kept connection a relay may go out on: decisions only, no sockets, the clock handed in.

A host may close an idle connection at the very moment at which a task goes out on it. The bytes are handed
over then, so nothing proves that the task did not run: a pure one goes again, an effectful one must be
scrapped. A connection that rested only a moment is safe, as hosts close what has rested long. So a task that
must not run twice takes a connection that rested much less than any host was seen or told to close after,
else a new one, which costs a handshake. `docs/connections.md` has the other ways considered and the
measurement.
"""
from collections import deque

from gaproute.interface import Effect

MILLI, SECOND = 1_000_000, 1_000_000_000

CALM = 500 * MILLI       # rest after which a connection is not trusted with an effectful task: shorter than
#                          the idle time of any common server (1 s and more), long beside gaps under load
LONGEST = 20 * SECOND    # rest after which none is used: most servers close between 5 and 75 s
SHARE = 0.5              # of the shortest rest after which this host closed one, or said that it would
SEEN = 8                 # closings remembered for each host
FORGET = 300 * SECOND    # a closing seen so long ago says nothing: the host may have been set up anew


class Pooling:
    def __init__(self):
        self.closings = {}       # worker: (time, how long the connection had rested)

    def closed(self, now, worker, rested):
        """The host closed a connection that had rested so long."""
        self.closings.setdefault(worker, deque(maxlen=SEEN)).append((now, rested))

    def gone(self, worker):
        self.closings.pop(worker, None)

    def safe_rest(self, now, worker, effect, told):
        """How long a connection may have rested to be used; `told` is what the host says it keeps one, or
        None."""
        seen = [rested for at, rested in self.closings.get(worker, ()) if now - at < FORGET]
        if told is not None:
            seen.append(told)
        longest = LONGEST if effect is Effect.PURE else CALM
        return min(longest, int(min(seen) * SHARE)) if seen else longest
