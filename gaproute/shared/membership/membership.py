"""Which gateways are up: decisions only, no sockets, the clock and the chance handed in.

After SWIM (Das, Gupta, Motivala 2002): each period one other is probed, directly and then through others; who
does not answer is suspected, and dead once the suspicion has lasted. A suspect that lives refutes with a
higher incarnation. Updates ride on the probes. Departures: a probe is tried again, directly and through
others, twice within its period, as at a fifth of the messages lost a thousand members would make more
suspects than updates can carry; a message with few updates carries some entries in turn; a newcomer asks one
member for all it holds, and so does who finds one back that it held dead (`state_transfer`); and a gateway
that was itself held up judges nobody by that time.

Nothing walks all members but a new round and a new list: a period costs the same whatever their number.
Nothing that the rules rest on uses any of this.
"""

from gaproute.shared.membership.dissemination import MessageBuilder
from gaproute.shared.membership.messages import (
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    is_valid,
)
from gaproute.shared.membership.state_transfer import StateTransfer
from gaproute.shared.membership.table import MemberTable

MILLI, SECOND = 1_000_000, 1_000_000_000

PERIOD = SECOND  # between probes: n gateways cost each 2 small messages a period whatever n is
DIRECT = 300 * MILLI  # for the answer to a probe: many round trips, and a few late turns
STAGES = 2  # times that a probe is tried again, each DIRECT after the last
HELPERS = 3  # asked to probe for us: one lossy path of our own must not make a suspect
SUSPECTED = 3  # periods, times the power of two of the members, until a suspect is dead
REVIVE = 5  # every so many periods a dead one is probed instead: finds a partition that healed
FORGET = 600 * SECOND  # after it a dead one that nobody configured is no more spoken of
INDIRECT_PROBES = 64  # probes for others in hand at most


class Membership:
    """`tick` at the time `due`, `receive` with each message; both return what to send as
    [(address, MembershipMessage)].
    `incarnation`: should be above that of any past life (ms since 1970 serve); where it is not, the first
    answers tell."""

    def __init__(self, name, where, chance, now, incarnation=1):
        self.name, self.address, self.chance = name, where, chance
        self.incarnation = incarnation
        self.table, self.builder, self.state_transfer = (
            MemberTable(),
            MessageBuilder(name, where),
            StateTransfer(),
        )
        self.members = self.table.members
        self.round = []  # names still to be probed in this round
        self.waiting = set()  # the same, to look them up
        self.number = self.periods = 0
        self.probe = None  # (number, name) not yet answered
        self.stage = 0  # how often it was tried again
        self.indirect_probes = {}  # number: (where, number there, name) of probes for others
        self.period = now + PERIOD
        self.held = 0  # ns that this gateway was held up: they count for no suspicion
        self.suspicions = self.refutations = 0

    @property
    def due(self):
        when = self.period
        if self.probe and self.stage < STAGES:
            when += DIRECT * (self.stage + 1) - PERIOD
        return when if self.state_transfer.due is None else min(when, self.state_transfer.due)

    @property
    def rejected(self):
        return self.table.rejected

    def configure(self, now, peers):
        self.table.configure(now - self.held, self.name, peers)

    def live_count(self):
        """How many gateways share the fleet, this one among them: suspects count, as most suspicions err."""
        return 1 + self.table.live_count()

    # What comes

    def receive(self, now, word):
        sender = word.sender
        if (
            sender.name == self.name
            or not is_valid(sender)
            or sender.state not in (MemberState.ALIVE, MemberState.LEFT)
        ):
            self.table.rejected += 1
            return []
        known = self.members.get(sender.name)
        was_dead = known is not None and known.state >= MemberState.DEAD
        for news in (sender, *word.updates):
            self.apply(now, news)
        member = self.members.get(sender.name)
        if member is None:
            return []  # too many are known
        member.last_heard = now
        if was_dead and member.state == MemberState.ALIVE:
            self.state_transfer.called = True
        # One that came back with an older word of itself, elsewhere, must learn what is held of it.
        stale = sender.incarnation < member.incarnation
        where = sender.address if stale and not member.configured else member.address
        if word.kind == MessageKind.PING:
            _, answer = self._word(member, MessageKind.ACK, word.sequence, word.target, stale)
            return [(where, answer)]
        if word.kind == MessageKind.PULL:
            return (
                [(where, self.builder.part(self.table, self.incarnation, word.sequence))]
                if self.state_transfer.give()
                else []
            )
        if word.kind == MessageKind.CHUNK:
            return [self._pull(member)] if self.state_transfer.came(now, member.name, word.sequence) else []
        if word.kind == MessageKind.PING_REQUEST:
            target = self.members.get(word.target)
            return [] if target is None else [self._errand(member, word.sequence, target)]
        return self._answered(now, member, word)

    def _errand(self, client, number, target):
        self.number += 1
        self.indirect_probes[self.number] = (client.name, number, target.name)
        while len(self.indirect_probes) > INDIRECT_PROBES:
            del self.indirect_probes[next(iter(self.indirect_probes))]
        return self._word(target, MessageKind.PING, self.number)

    def _answered(self, now, member, word):
        name, words = member.name, []
        if self.probe == (word.sequence, name) or self.probe == (word.sequence, word.target):
            self.probe = None
        if member.state == MemberState.ALIVE and self.state_transfer.wants(now):
            self.state_transfer.begin(now, name)
            words.append(self._pull(member))
        client, number, target = self.indirect_probes.pop(word.sequence, (None, 0, ""))
        if name == target and client in self.members:
            words.append(self._word(self.members[client], MessageKind.ACK, number, target))
        return words

    def apply(self, now, news):
        """Takes a claim where it beats what is held; outbids one of this gateway that is of a past life or
        says that it is not alive."""
        if news.name != self.name or not is_valid(news):
            self.table.apply(now - self.held, news)
        elif (news.incarnation, news.state) > (self.incarnation, MemberState.ALIVE):
            self.refutations += news.state != MemberState.ALIVE
            self.incarnation = news.incarnation + 1

    # What time brings

    def tick(self, now):
        """Called at `due` or later."""
        if now - self.due > PERIOD:  # held up: answers may lie unread, and no suspect had a chance
            self.held += now - self.due
            self.probe, self.period, self.state_transfer.asked = None, now + PERIOD, now
            return []
        if now < self.due:
            return []
        words = []
        if self.state_transfer.late(now) and self.state_transfer.of in self.members:
            words.append(self._pull(self.members[self.state_transfer.of]))
        if now >= self.period:
            return words + self._probe(now)
        if self.probe and self.stage < STAGES and now >= self.period - PERIOD + DIRECT * (self.stage + 1):
            words += self._through_others()
        return words

    def _probe(self, now):
        if self.probe is not None:
            self._suspect(now, self.members.get(self.probe[1]))
        lived = now - self.held
        for member in self.table.expired_suspects(lived, self.table.scale(SUSPECTED) * PERIOD):
            self.apply(now, member.update._replace(state=MemberState.DEAD))
        self.table.forget(lived, FORGET)
        self.period, self.stage, self.probe = now + PERIOD, 0, None
        self.periods += 1
        self.state_transfer.given = 0
        target = self._next()
        if target is None:
            return []
        self.number += 1
        self.probe = (self.number, target.name) if target.state < MemberState.DEAD else None
        return [self._word(target, MessageKind.PING, self.number)]

    def _suspect(self, now, member):
        if member is not None and member.state == MemberState.ALIVE:
            self.suspicions += 1
            self.apply(now, member.update._replace(state=MemberState.SUSPECT))

    def _through_others(self):
        """The probe again, and by others."""
        self.stage += 1
        number, name = self.probe
        if name not in self.members:
            return []
        helpers = self.table.alive.some(self.chance, HELPERS, name)
        return [self._word(self.members[name], MessageKind.PING, number)] + [
            self._word(self.members[helper], MessageKind.PING_REQUEST, number, name) for helper in helpers
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
        if table.dead and (self.periods % REVIVE == 0 or not table.live_count()):
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
            where, word = self._word(self.members[name], MessageKind.ACK, 0)
            words.append((where, word._replace(sender=word.sender._replace(state=MemberState.LEFT))))
        return words

    def _pull(self, member):
        me = MemberUpdate(self.name, self.address, MemberState.ALIVE, self.incarnation)
        return member.address, MembershipMessage(MessageKind.PULL, self.state_transfer.place, me)

    def _word(self, to, kind, number, target="", stale=False):
        first = to if to.state != MemberState.ALIVE or stale else None
        return to.address, self.builder.message(self.table, self.incarnation, kind, number, target, first)
