"""Which gateways are up: decisions only, no sockets, the clock and the chance handed in.

After SWIM (Das, Gupta, Motivala 2002): each period one other is probed, directly and then through others; who
does not answer is suspected, and dead once the suspicion has lasted. A suspect that lives refutes with a
higher incarnation. News rides on the probes. Two departures: what room is left in a message carries entries
in turn, so that a newcomer and a healed partition learn the whole without a special exchange; and a gateway
that was itself held up judges nobody by that time.

One order decides between two claims of a member: (incarnation, state). So merging is taking the greater, and
claims may come in any order, twice, or late. Nothing that the rules rest on uses any of this.
"""
from math import ceil, log2

from gaproute.shared.membership.news import ALIVE, DEAD, LEFT, SUSPECT, Member, News, sound
from gaproute.shared.membership.telling import message

MILLI, SECOND = 1_000_000, 1_000_000_000

PERIOD = SECOND          # between probes: n gateways cost each 2 small messages a period whatever n is
DIRECT = 300 * MILLI     # for the answer to a direct probe: many round trips, and a few late turns
HELPERS = 3              # asked to probe for us: one lossy path of our own must not make a suspect
SUSPECTED = 3            # periods, times the power of two of the members, until a suspect is dead
REVIVE = 5               # every so many periods a dead one is probed instead: finds a partition that healed
FORGET = 600 * SECOND    # after it a dead one that nobody configured is no more spoken of
MEMBERS = 256            # known at most; beyond it strangers are refused
ERRANDS = 64             # probes for others in hand at most


class Members:
    """`tick` at the time `due`, `hear` with each message; both return [(address, Word)] to be sent."""

    def __init__(self, name, where, chance, now):
        self.name, self.where, self.chance = name, where, chance
        self.incarnation = 1
        self.members = {}        # name: Member, this gateway not among them
        self.round = []          # names still to be probed in this round
        self.number = self.periods = self.turn = 0
        self.probe = None        # (number, name) not yet answered
        self.asked = False       # others were asked to probe it as well
        self.errands = {}        # number: (where, number there, name) of probes for others
        self.period = now + PERIOD
        self.refused = 0         # messages or claims that cannot be
        self.suspicions = self.refutations = 0

    @property
    def due(self):
        return self.period - PERIOD + DIRECT if self.probe and not self.asked else self.period

    def listed(self, now, peers):
        """`peers`: {name: address} as configured now; the only ones that are never forgotten."""
        for name, where in peers.items():
            if name == self.name:
                continue
            member = self.members.get(name)
            if member is None:
                member = self.members[name] = Member(News(name, where, ALIVE, 0), now, True)
            member.where, member.fixed = where, True
        for name, member in self.members.items():
            member.fixed = name in peers

    def up(self):
        """How many gateways share the fleet, this one among them: suspects count, as most suspicions err."""
        return 1 + sum(member.state in (ALIVE, SUSPECT) for member in self.members.values())

    def scale(self, times):
        return times * max(1, ceil(log2(len(self.members) + 1)))

    # What comes

    def hear(self, now, word):
        name = word.sender.name
        if name == self.name or not sound(word.sender) or word.sender.state not in (ALIVE, LEFT):
            self.refused += 1
            return []
        for news in (word.sender, *word.news):
            self.claim(now, news)
        member = self.members.get(name)
        if member is None:
            return []            # too many are known
        member.heard = now
        if word.kind == "ping":
            return [self._word(member, "ack", word.number, word.target)]
        if word.kind == "ask":
            target = self.members.get(word.target)
            if target is None:
                return []
            self.number += 1
            self.errands[self.number] = (member.name, word.number, target.name)
            while len(self.errands) > ERRANDS:
                del self.errands[next(iter(self.errands))]
            return [self._word(target, "ping", self.number)]
        if self.probe == (word.number, name) or self.probe == (word.number, word.target):
            self.probe = None
        errand = self.errands.pop(word.number, None)
        if errand is None:
            return []
        client, number, target = errand
        if name != target or client not in self.members:
            return []
        return [self._word(self.members[client], "ack", number, target)]

    def claim(self, now, news):
        """Takes a claim where it beats what is held; refutes one that says this gateway is not alive."""
        if not sound(news):
            self.refused += 1
            return
        if news.name == self.name:
            if (news.incarnation, news.state) > (self.incarnation, ALIVE):
                self.refutations += news.state != ALIVE
                self.incarnation = news.incarnation + (news.state != ALIVE)
            return
        member = self.members.get(news.name)
        if member is None:
            if len(self.members) >= MEMBERS:
                self.refused += 1
            elif news.state < DEAD:
                self.members[news.name] = Member(news, now, False)
        elif (news.incarnation, news.state) > (member.incarnation, member.state):
            if news.state != member.state:
                member.since = now
            member.state, member.incarnation, member.told = news.state, news.incarnation, 0
            if not member.fixed:
                member.where = news.where

    # What time brings

    def tick(self, now):
        """Called at `due` or later."""
        if now - self.due > PERIOD:      # held up: answers may lie unread, and no suspect had a chance
            for member in self.members.values():
                member.since += now - self.due
            self.probe, self.period = None, now + PERIOD
            return []
        if now < self.due:
            return []
        if now < self.period:
            return self._through_others()
        if self.probe is not None:
            self._suspect(now, self.members.get(self.probe[1]))
        for member in list(self.members.values()):
            if member.state == SUSPECT and now - member.since >= self.scale(SUSPECTED) * PERIOD:
                self.claim(now, member.news._replace(state=DEAD))
            elif member.state >= DEAD and now - member.since > FORGET and not member.fixed:
                del self.members[member.name]
        self.period, self.asked, self.probe = now + PERIOD, False, None
        self.periods += 1
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
        self.asked = True
        number, name = self.probe
        others = [member for member in self.members.values() if member.state == ALIVE and member.name != name]
        words = []
        for _ in range(min(HELPERS, len(others))):
            helper = others.pop(self.chance.below(len(others)))
            words.append(self._word(helper, "ask", number, name))
        return words

    def _next(self):
        """Whom to probe: the living in rounds, each round in another order; now and then one that is dead."""
        dead = [member for member in self.members.values() if member.state >= DEAD]
        living = [name for name, member in self.members.items() if member.state < DEAD]
        if dead and (self.periods % REVIVE == 0 or not living):
            return dead[self.chance.below(len(dead))]
        self.round = [name for name in self.round if name in self.members and self.members[name].state < DEAD]
        if not self.round:
            while living:
                self.round.append(living.pop(self.chance.below(len(living))))
        return self.members[self.round.pop()] if self.round else None

    def leave(self):
        """Words that tell a few that this gateway goes of its own will."""
        living = [member for member in self.members.values() if member.state == ALIVE]
        words = []
        for _ in range(min(HELPERS, len(living))):
            member = living.pop(self.chance.below(len(living)))
            where, word = self._word(member, "ack", 0)
            words.append((where, word._replace(sender=word.sender._replace(state=LEFT))))
        return words

    def _word(self, to, kind, number, target=""):
        return message(self, to, kind, number, target)
