"""Which gateways are up: decisions only, no sockets, the clock and the chance handed in.

After SWIM (Das, Gupta, Motivala 2002): each period one other is probed, directly and then through others; who
does not answer is suspected, and dead once the suspicion has lasted. A suspect that lives refutes with a
higher incarnation. News rides on the probes. Departures: a probe is tried again, directly and through others,
twice within its period, as at a fifth of the messages lost a thousand members would make more suspects than
news can carry; a message with little news carries some entries in turn; a newcomer asks one member for all
it holds, and so does who finds one back that it held dead (`pulling`); and a gateway that was itself held up
judges nobody by that time.

Nothing walks all members but a new round and a new list: a period costs the same whatever their number.
Nothing that the rules rest on uses any of this.
"""

from gaproute.shared.membership.news import ALIVE, DEAD, LEFT, SUSPECT, News, Word, sound
from gaproute.shared.membership.pulling import Pulling
from gaproute.shared.membership.table import Table
from gaproute.shared.membership.telling import Teller

MILLI, SECOND = 1_000_000, 1_000_000_000

PERIOD = SECOND  # between probes: n gateways cost each 2 small messages a period whatever n is
DIRECT = 300 * MILLI  # for the answer to a probe: many round trips, and a few late turns
STAGES = 2  # times that a probe is tried again, each DIRECT after the last
HELPERS = 3  # asked to probe for us: one lossy path of our own must not make a suspect
SUSPECTED = 3  # periods, times the power of two of the members, until a suspect is dead
REVIVE = 5  # every so many periods a dead one is probed instead: finds a partition that healed
FORGET = 600 * SECOND  # after it a dead one that nobody configured is no more spoken of
ERRANDS = 64  # probes for others in hand at most


class Members:
    """`tick` at the time `due`, `hear` with each message; both return [(address, Word)] to be sent.
    `incarnation`: should be above that of any past life (ms since 1970 serve); where it is not, the first
    answers tell."""

    def __init__(self, name, where, chance, now, incarnation=1):
        self.name, self.where, self.chance = name, where, chance
        self.incarnation = incarnation
        self.table, self.teller, self.pulling = Table(), Teller(name, where), Pulling()
        self.members = self.table.members
        self.round = []  # names still to be probed in this round
        self.waiting = set()  # the same, to look them up
        self.number = self.periods = 0
        self.probe = None  # (number, name) not yet answered
        self.stage = 0  # how often it was tried again
        self.errands = {}  # number: (where, number there, name) of probes for others
        self.period = now + PERIOD
        self.held = 0  # ns that this gateway was held up: they count for no suspicion
        self.suspicions = self.refutations = 0

    @property
    def due(self):
        when = self.period
        if self.probe and self.stage < STAGES:
            when += DIRECT * (self.stage + 1) - PERIOD
        return when if self.pulling.due is None else min(when, self.pulling.due)

    @property
    def refused(self):
        return self.table.refused

    def listed(self, now, peers):
        self.table.listed(now - self.held, self.name, peers)

    def up(self):
        """How many gateways share the fleet, this one among them: suspects count, as most suspicions err."""
        return 1 + self.table.up()

    # What comes

    def hear(self, now, word):
        sender = word.sender
        if sender.name == self.name or not sound(sender) or sender.state not in (ALIVE, LEFT):
            self.table.refused += 1
            return []
        known = self.members.get(sender.name)
        was_dead = known is not None and known.state >= DEAD
        for news in (sender, *word.news):
            self.claim(now, news)
        member = self.members.get(sender.name)
        if member is None:
            return []  # too many are known
        member.heard = now
        if was_dead and member.state == ALIVE:
            self.pulling.called = True
        # One that came back with an older word of itself, elsewhere, must learn what is held of it.
        stale = sender.incarnation < member.incarnation
        where = sender.where if stale and not member.fixed else member.where
        if word.kind == "ping":
            _, answer = self._word(member, "ack", word.number, word.target, stale)
            return [(where, answer)]
        if word.kind == "pull":
            return (
                [(where, self.teller.part(self.table, self.incarnation, word.number))]
                if self.pulling.give()
                else []
            )
        if word.kind == "part":
            return [self._pull(member)] if self.pulling.came(now, member.name, word.number) else []
        if word.kind == "ask":
            target = self.members.get(word.target)
            return [] if target is None else [self._errand(member, word.number, target)]
        return self._answered(now, member, word)

    def _errand(self, client, number, target):
        self.number += 1
        self.errands[self.number] = (client.name, number, target.name)
        while len(self.errands) > ERRANDS:
            del self.errands[next(iter(self.errands))]
        return self._word(target, "ping", self.number)

    def _answered(self, now, member, word):
        name, words = member.name, []
        if self.probe == (word.number, name) or self.probe == (word.number, word.target):
            self.probe = None
        if member.state == ALIVE and self.pulling.wants(now):
            self.pulling.begin(now, name)
            words.append(self._pull(member))
        client, number, target = self.errands.pop(word.number, (None, 0, ""))
        if name == target and client in self.members:
            words.append(self._word(self.members[client], "ack", number, target))
        return words

    def claim(self, now, news):
        """Takes a claim where it beats what is held; outbids one of this gateway that is of a past life or
        says that it is not alive."""
        if news.name != self.name or not sound(news):
            self.table.claim(now - self.held, news)
        elif (news.incarnation, news.state) > (self.incarnation, ALIVE):
            self.refutations += news.state != ALIVE
            self.incarnation = news.incarnation + 1

    # What time brings

    def tick(self, now):
        """Called at `due` or later."""
        if now - self.due > PERIOD:  # held up: answers may lie unread, and no suspect had a chance
            self.held += now - self.due
            self.probe, self.period, self.pulling.asked = None, now + PERIOD, now
            return []
        if now < self.due:
            return []
        words = []
        if self.pulling.late(now) and self.pulling.of in self.members:
            words.append(self._pull(self.members[self.pulling.of]))
        if now >= self.period:
            return words + self._probe(now)
        if self.probe and self.stage < STAGES and now >= self.period - PERIOD + DIRECT * (self.stage + 1):
            words += self._through_others()
        return words

    def _probe(self, now):
        if self.probe is not None:
            self._suspect(now, self.members.get(self.probe[1]))
        lived = now - self.held
        for member in self.table.overdue(lived, self.table.scale(SUSPECTED) * PERIOD):
            self.claim(now, member.news._replace(state=DEAD))
        self.table.forget(lived, FORGET)
        self.period, self.stage, self.probe = now + PERIOD, 0, None
        self.periods += 1
        self.pulling.given = 0
        target = self._next()
        if target is None:
            return []
        self.number += 1
        self.probe = (self.number, target.name) if target.state < DEAD else None
        return [self._word(target, "ping", self.number)]

    def _suspect(self, now, member):
        if member is not None and member.state == ALIVE:
            self.suspicions += 1
            self.claim(now, member.news._replace(state=SUSPECT))

    def _through_others(self):
        """The probe again, and by others."""
        self.stage += 1
        number, name = self.probe
        if name not in self.members:
            return []
        helpers = self.table.alive.some(self.chance, HELPERS, name)
        return [self._word(self.members[name], "ping", number)] + [
            self._word(self.members[helper], "ask", number, name) for helper in helpers
        ]

    def _next(self):
        """Whom to probe: the living in rounds, each round in another order, newcomers somewhere in this one;
        now and then one that is dead."""
        table = self.table
        for name in table.joined:
            if name not in self.waiting:
                self.waiting.add(name)
                self.round.append(name)
                other = self.chance.below(len(self.round))
                self.round[-1], self.round[other] = self.round[other], self.round[-1]
        table.joined.clear()
        if table.dead and (self.periods % REVIVE == 0 or not table.up()):
            return self.members[table.dead.pick(self.chance)]
        for _ in range(2):
            while self.round:
                name = self.round.pop()
                self.waiting.discard(name)
                if name in self.members and name not in table.dead:
                    return self.members[name]
            self.round = [*table.alive.names, *table.suspects]
            self.waiting = set(self.round)
            for place in range(len(self.round) - 1, 0, -1):
                other = self.chance.below(place + 1)
                self.round[place], self.round[other] = self.round[other], self.round[place]
        return None

    def leave(self):
        """Words that tell a few that this gateway goes of its own will."""
        words = []
        for name in self.table.alive.some(self.chance, HELPERS):
            where, word = self._word(self.members[name], "ack", 0)
            words.append((where, word._replace(sender=word.sender._replace(state=LEFT))))
        return words

    def _pull(self, member):
        me = News(self.name, self.where, ALIVE, self.incarnation)
        return member.where, Word("pull", self.pulling.place, me)

    def _word(self, to, kind, number, target="", stale=False):
        first = to if to.state != ALIVE or stale else None
        return to.where, self.teller.message(self.table, self.incarnation, kind, number, target, first)
