"""What a gateway knows of workers, functions and the relays of one task; the rooms beside it judge it."""

from collections import deque

from gaproute.interface import NEVER_RAN, Result, State

MILLI, SECOND = 1_000_000, 1_000_000_000
LONG = 1 << 62  # a time that never comes

WIDE = 2.5  # workers for each that a hot function could fill: others' tasks need the rest of each
MIX = 256  # own last tasks from which a function's share of the work is taken
ERRED = 0.4  # of an unanswered relay's weight, an error's of a pure task: others then succeed
LOOK = 40 * MILLI  # between judgements of workers and tasks in hand: far less than signs of illness take
FLOWS = 64  # answers over which this gateway's pace of answers is taken
ROOM = 9  # tasks that a usual worker takes on, whatever the lanes of one copy: others' run too
RECENT = 5 * SECOND  # samples older than this are no evidence: a suspect is tried again after it
KEPT = 8  # samples kept of each thing measured: a median that two odd ones do not move
LOAD_LIFE = 8 * SECOND  # reported queues older than this are forgotten: crowds by the hash last as long
CREDIT_LIFE = 2 * SECOND  # over which unspent credit fades: about the time in which cold workers fall over


class Worker:
    """What this gateway knows of one worker."""

    def __init__(self, row, cold_time):
        self.id, self.cold_time = row.host, cold_time
        self.place, self.asked = 0, -LONG  # in the fleet; when last probed from here
        self.restart(row, -1, {})

    def restart(self, row, wiped, out):
        self.started = row.started
        self.warm_at = -1 if row.started is None else row.started + self.cold_time  # does all its work
        self.wiped, self.out = wiped, out  # copies before it are lost; (task, relay): when sent
        self.heard = {}  # track: when an answer last came
        self.late = {}  # (task, relay) overdue with nothing of its track heard since: whether booked
        self.results = []  # (time, track, harm: 0 if good, 1 if unanswered), the last of each track
        self.paces = deque(maxlen=KEPT)  # (time, answer time over the function's usual)
        self.bad = 0  # of the results
        self.slow, self.slow_until = 1.0, -1  # the pace at the last answer
        self.report, self.reported, self.memory = None, -LOAD_LIFE, None
        self.credit, self.credited = 0.0, 0  # chance of a relay to it while cold; when last raised
        self.full_until = -1  # it turned a task away; nothing more until then
        self.renew(row)

    def renew(self, row):
        self.zone, self.cell, self.capacity = row.zone, row.cell, max(row.capacity, 1e-3)
        self.active = row.state is State.ACTIVE

    def earn(self, now, share):
        """Credit for relays while cold. What is unspent fades, lest many gateways save up a burst."""
        kept = max(0.0, 1 - (now - self.credited) / CREDIT_LIFE)
        self.credit, self.credited = self.credit * kept + share, now


class Function:
    """What this gateway knows of one function."""

    def __init__(self, lanes):
        self.lanes = lanes
        self.seen = {}  # worker: last own send or answer there
        self.stands = {}  # worker: last answer, which shows that a copy stood
        self.told = {}  # worker: when others saw a copy there; not yet considered
        self.times = deque(maxlen=KEPT)  # answer times where a copy stood
        self.ordered, self.since = False, 0  # an order is open; when the last one went
        self.ranks, self.order, self.ranked_for = {}, [], -1  # worker: its rank; the first workers by rank
        self.used, self.rests_until = 0, -1
        self.answered = -1  # when a copy of it was last seen anywhere


class Trail:
    """What the relays of one task prove so far."""

    def __init__(self):
        self.out, self.ended = {}, []  # relay: (worker, sent); those ended of which each may have run
        self.first = None  # (worker, sent) of the first relay that may have run or may yet
        self.failed = []  # workers that failed it
        self.relays = 0

    def settle(self, relay, result):
        worker, sent = self.out.pop(relay)
        if result not in NEVER_RAN:
            self.ended.append((worker, sent))  # what is proven not to have run binds the task no longer
        self.first = min([*self.ended, *self.out.values()], key=lambda each: each[1], default=None)
        if result is not Result.NOT_LOADED:
            self.failed.append(worker)
