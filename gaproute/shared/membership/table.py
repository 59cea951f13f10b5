"""What is held of all members, and the one rule by which claims are merged.

One order decides between two claims of a member: (incarnation, state, address). So merging is taking the
greater, and claims may come in any order, twice, or late. Each state has a list of its own, so that nothing
walks all members.
"""

from math import ceil, log2

from gaproute.shared.membership.news import ALIVE, DEAD, SUSPECT, Member, News, sound
from gaproute.shared.membership.pool import Pool
from gaproute.shared.membership.telling import Queue

MEMBERS = 4096  # strangers are refused beyond it: 8 MB with the longest names; lists know no cap


class Table:
    def __init__(self):
        self.members = {}  # name: Member, this gateway not among them
        self.every, self.alive, self.dead = Pool(), Pool(), Pool()  # dead: or left
        self.suspects = {}  # name: since when on the clock of `claim`, the longest first
        self.buried = {}  # name: since when dead or left, the longest first
        self.fresh = Queue()  # names whose state is news
        self.changed = {}  # names whose state is other than at the last look of the reader
        self.joined = {}  # names new among the living, for the rounds of probes
        self.refused = 0  # messages or claims that cannot be

    def scale(self, times):
        return times * max(1, ceil(log2(len(self.members) + 1)))

    def listed(self, now, own, peers):
        """`peers`: {name: address} as configured now; the only ones that are never forgotten."""
        for name, where in peers.items():
            if name == own:
                continue
            if name not in self.members:
                self._add(now, News(name, where, ALIVE, 0), True)
            self.members[name].where, self.members[name].fixed = where, True
        for name, member in self.members.items():
            if member.fixed and name not in peers:
                member.fixed = False
                if member.state >= DEAD:
                    self.buried[name] = now

    def claim(self, now, news):
        """Takes a claim where it beats what is held."""
        if not sound(news):
            self.refused += 1
            return
        member = self.members.get(news.name)
        if member is None:
            if len(self.members) >= MEMBERS:
                self.refused += 1
            elif news.state < DEAD:
                self._add(now, news, False)
                self.fresh.put(news.name)
            return
        where = member.where if member.fixed else news.where
        if (news.incarnation, news.state, where) <= (member.incarnation, member.state, member.where):
            return
        before, first = member.state, not member.incarnation
        member.state, member.incarnation, member.where = news.state, news.incarnation, where
        if news.state != before or not first:  # a configured one's first word of itself tells nothing
            self.fresh.put(news.name)
        if news.state != before:
            member.since = now
            self._file(now, member)

    def _add(self, now, news, fixed):
        member = self.members[news.name] = Member(news, now, fixed)
        self.every.add(news.name)
        self._file(now, member)

    def _file(self, now, member):
        name, state = member.name, member.state
        self.suspects.pop(name, None)
        self.buried.pop(name, None)
        (self.alive.add if state == ALIVE else self.alive.drop)(name)
        (self.dead.add if state >= DEAD else self.dead.drop)(name)
        if state == SUSPECT:
            self.suspects[name] = now
        elif state >= DEAD:
            self.buried[name] = now
        else:
            self.joined[name] = None
        self.changed[name] = None

    def overdue(self, now, span):
        """The members that were suspects for so long."""
        found = []
        for name, since in self.suspects.items():
            if now - since < span:
                break
            found.append(self.members[name])
        return found

    def forget(self, now, span):
        """Drops those dead for longer than that which nobody configured."""
        for name, since in list(self.buried.items())[:8]:
            if now - since <= span:
                break
            del self.buried[name]
            if not self.members[name].fixed:
                self._drop(name)

    def _drop(self, name):
        del self.members[name]
        for pool in (self.every, self.alive, self.dead, self.fresh):
            pool.drop(name)
        self.changed[name] = None

    def up(self):
        return len(self.alive) + len(self.suspects)
