"""The side that wants permits: one request at a time, asked again until some keeper's leader answers.

A permit holds by the holder's own clock from when the request was FIRST sent: whatever was granted was
granted later. Nobody heard: it runs out here, before the keepers let it expire (`commands.expiry_wait`).
What is done under a permit carries its fence, as a process may be stopped between looking at `may` and
acting.
"""

from collections import Counter, deque

from gaproute.shared.leases.commands import (
    MAX_DURATION,
    MAX_LEASES_PER_CLIENT,
    MIN_DURATION,
    AcquireLease,
    CommandResult,
    ReleaseLease,
    RenewLease,
    ResizePool,
    decode_result,
    encode,
)
from gaproute.shared.messages import HIGHEST
from gaproute.shared.raft.messages import Reply, Request

MILLI, SECOND = 1_000_000, 1_000_000_000

AGAIN = 500 * MILLI  # until the next keeper is asked: above a sync and a round trip, below an election
PAUSE = 100 * MILLI  # before the next one is asked by one that knows no leader
HOPS = 2  # redirects followed at once: keepers that name one another must not be a flood


class Wish:
    """A permit that is wanted, held or over. `end`: ns by the holder's clock."""

    def __init__(self, resource, amount, span):
        self.resource, self.amount, self.span = resource, amount, span
        self.state, self.why, self.fence, self.end = "asked", "", 0, None
        self.renew = None  # when it is to be renewed

    def may(self, now):
        return self.state == "held" and now < self.end


class Job:
    """One command: its nonce and when it was first sent are set then."""

    def __init__(self, command, wish=None):
        self.command, self.wish = command, wish
        self.session = self.nonce = 0
        self.sent = None


class Holder:
    def __init__(self, name, keepers, chance, now):
        self.name, self.chance = name, chance
        self.session = self.nonce = 0
        self.urgent, self.queue = deque(), deque()  # renewals and givings back before new wishes
        self.job, self.body, self.again, self.hops = None, b"", now, 0
        self.wishes = []  # asked or held
        self.refused = Counter()
        self.keepers, self.to = (), ""
        self.named(now, keepers)

    def named(self, now, keepers):
        self.keepers = tuple(sorted(set(keepers)))
        if self.to not in self.keepers:
            self.to = self.keepers[self.chance.below(len(self.keepers))]

    def take(self, now, resource, span, amount=1):
        """Errors: ValueError for what no keeper would take."""
        if not MIN_DURATION <= span <= MAX_DURATION or not 1 <= amount <= HIGHEST:
            raise ValueError(f"a permit of {amount} for {span} ns")
        if len(self.wishes) >= MAX_LEASES_PER_CLIENT:
            raise ValueError(f"{MAX_LEASES_PER_CLIENT} wishes at once")
        wish = Wish(resource, amount, span)
        self.wishes.append(wish)
        self.queue.append(Job(AcquireLease(resource, self.name, amount, span), wish))
        return wish

    def give(self, now, wish):
        """From here on it may not; the keepers hear it, or let it lapse."""
        if wish.state == "held":
            self.urgent.append(Job(ReleaseLease(wish.fence, self.name)))
        self.queue = deque(job for job in self.queue if job.wish is not wish)
        if wish.state in ("asked", "held"):
            self._end(wish, "given")

    def leave(self, now):
        """All is given back: the gateway stops. What is not heard lapses."""
        for wish in list(self.wishes):
            self.give(now, wish)

    def size(self, now, resource, amount):
        """Errors: ValueError where too much waits to be said."""
        if len(self.queue) >= 2 * MAX_LEASES_PER_CLIENT:
            raise ValueError(f"{len(self.queue)} commands wait")
        self.queue.append(Job(ResizePool(resource, self.name, amount)))

    def _end(self, wish, state, why=""):
        wish.state, wish.why, wish.renew = state, why, None
        self.wishes.remove(wish)

    @property
    def due(self):
        """ns, or None while there is nothing to do."""
        times = [
            when
            for wish in self.wishes
            if wish.end is not None
            for when in (wish.end, wish.renew)
            if when is not None
        ]
        if self.job is not None or self.urgent or self.queue:
            times.append(self.again)
        return min(times, default=None)

    def tick(self, now):
        for wish in [wish for wish in self.wishes if wish.end is not None and now >= wish.end]:
            self.urgent.append(Job(ReleaseLease(wish.fence, self.name)))
            self._end(wish, "over", "not renewed in time")
        for wish in self.wishes:
            if wish.renew is not None and now >= wish.renew:
                wish.renew = None  # until this one is answered
                self.urgent.append(Job(RenewLease(wish.fence, self.name, wish.span), wish))
        if now < self.again:
            return []
        if self.job is None:
            return self._next(now)
        self.to = (
            self.keepers[(self.keepers.index(self.to) + 1) % len(self.keepers)]
            if self.to in self.keepers
            else self.keepers[0]
        )
        return self._send(now)

    def _next(self, now):
        """Begins the next job that still makes sense."""
        while self.job is None and (self.urgent or self.queue):
            if not self.session:
                self.job = Job(None)
                self.job.nonce, self.body = 1 + self.chance.below(HIGHEST), b""
                break
            job = (self.urgent or self.queue).popleft()
            kind = type(job.command)
            if (
                kind is AcquireLease
                and job.wish.state != "asked"
                or kind is RenewLease
                and job.wish.state != "held"
            ):
                continue
            self.nonce += 1
            job.session, job.nonce, self.body = self.session, self.nonce, encode(job.command)
            self.job = job
        self.hops = 0
        return [] if self.job is None else self._send(now)

    def _send(self, now):
        if self.job.sent is None:
            self.job.sent = now
        self.again = now + AGAIN
        return [(self.to, Request(self.job.session, self.job.nonce, self.body))]

    def hear(self, now, sender, message):
        if sender not in self.keepers or not isinstance(message, Reply):
            self.refused["stranger"] += 1
            return []
        job = self.job
        if job is None or (message.session, message.nonce) != (job.session, job.nonce):
            self.refused["late"] += 1
            return []
        if message.state == "elsewhere":
            return self._redirect(now, sender, message.leader)
        if message.state == "busy" or message.state == "done" and not (job.session or message.opened):
            self.again = now + PAUSE + self.chance.below(PAUSE)
            self.to = self.keepers[self.keepers.index(sender) - 1]  # the next in turn is this one
            return []
        self.to, self.job, self.again = sender, None, now
        if message.state == "forgotten":
            self._forgotten(job)
        elif message.state == "done" and not job.session:
            self.session, self.nonce = message.opened, 0
        else:
            self._answered(now, job, self._read(message))
        return self.tick(now)

    def _redirect(self, now, sender, leader):
        if leader in self.keepers and leader != sender and self.hops < HOPS:
            self.hops, self.to = self.hops + 1, leader
            return self._send(now)
        self.again = min(self.again, now + PAUSE)
        return []

    @staticmethod
    def _read(message):
        if message.state == "done":
            try:
                return decode_result(message.body)
            except ValueError:
                return CommandResult("answer not understood")
        return CommandResult(message.body.decode("utf-8", "replace")[:64] or message.state)

    def _forgotten(self, job):
        """The session is gone from the keepers' table: whether the command was done is not known."""
        self.session = 0
        if isinstance(job.command, AcquireLease):
            if job.wish.state == "asked":
                self._end(job.wish, "refused", "outcome unknown")
        else:  # doing these twice is as doing them once
            self.urgent.append(Job(job.command, job.wish))

    def _answered(self, now, job, answer):
        wish, kind = job.wish, type(job.command)
        if kind is AcquireLease and not answer.error:
            wish.fence = answer.fencing_token
            if wish.state == "asked" and now < job.sent + wish.span:
                wish.state = "held"
                self._until(wish, job.sent)
                return
            self.urgent.append(
                Job(ReleaseLease(answer.fencing_token, self.name))
            )  # too late, or not wanted any more
            if wish.state == "asked":
                self._end(wish, "over", "answered too late")
        elif kind is AcquireLease and wish.state == "asked":
            self._end(wish, "refused", answer.error)
        elif kind is RenewLease and wish.state == "held":
            if answer.error:
                self._end(wish, "over", answer.error)
            else:
                self._until(wish, job.sent)

    @staticmethod
    def _until(wish, sent):
        wish.end = sent + wish.span
        wish.renew = sent + wish.span // 2
