"""What is held of all members, and the one rule by which claims are merged.

One order decides between two claims of a member: (incarnation, state, address). So merging is taking the
greater, and claims may come in any order, twice, or late. Each state has a list of its own, so that nothing
walks all members.
"""

from math import ceil, log2

from gaproute.shared.membership.dissemination import UpdateQueue
from gaproute.shared.membership.messages import Member, MemberState, MemberUpdate, is_valid
from gaproute.shared.membership.name_set import NameSet

MAX_MEMBERS = 4096  # strangers are refused beyond it: 8 MB with the longest names; lists know no cap


class MemberTable:
    def __init__(self):
        self.members = {}  # name: Member, this gateway not among them
        self.all_names, self.alive, self.dead = NameSet(), NameSet(), NameSet()  # dead: or left
        self.suspects = {}  # name: since when on the clock of `claim`, the longest first
        self.departed = {}  # name: since when dead or left, the longest first
        self.pending_updates = UpdateQueue()  # names whose state is news
        self.changed = {}  # names whose state is other than at the last look of the reader
        self.joined = {}  # names new among the living, for the rounds of probes
        self.rejected = 0  # messages or claims that cannot be

    def scale(self, times):
        return times * max(1, ceil(log2(len(self.members) + 1)))

    def configure(self, now, own, peers):
        """`peers`: {name: address} as configured now; the only ones that are never forgotten."""
        for name, where in peers.items():
            if name == own:
                continue
            if name not in self.members:
                self._add(now, MemberUpdate(name, where, MemberState.ALIVE, 0), True)
            self.members[name].address, self.members[name].configured = where, True
        for name, member in self.members.items():
            if member.configured and name not in peers:
                member.configured = False
                if member.state >= MemberState.DEAD:
                    self.departed[name] = now

    def apply(self, now, news):
        """Takes a claim where it beats what is held."""
        if not is_valid(news):
            self.rejected += 1
            return
        member = self.members.get(news.name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                self.rejected += 1
            elif news.state < MemberState.DEAD:
                self._add(now, news, False)
                self.pending_updates.put(news.name)
            return
        where = member.address if member.configured else news.address
        if (news.incarnation, news.state, where) <= (member.incarnation, member.state, member.address):
            return
        before, first = member.state, not member.incarnation
        member.state, member.incarnation = MemberState(news.state), news.incarnation
        member.address = where
        if news.state != before or not first:  # a configured one's first word of itself tells nothing
            self.pending_updates.put(news.name)
        if news.state != before:
            member.state_since = now
            self._file(now, member)

    def _add(self, now, news, fixed):
        member = self.members[news.name] = Member(news, now, fixed)
        self.all_names.add(news.name)
        self._file(now, member)

    def _file(self, now, member):
        name, state = member.name, member.state
        self.suspects.pop(name, None)
        self.departed.pop(name, None)
        (self.alive.add if state == MemberState.ALIVE else self.alive.drop)(name)
        (self.dead.add if state >= MemberState.DEAD else self.dead.drop)(name)
        if state == MemberState.SUSPECT:
            self.suspects[name] = now
        elif state >= MemberState.DEAD:
            self.departed[name] = now
        else:
            self.joined[name] = None
        self.changed[name] = None

    def expired_suspects(self, now, span):
        """The members that were suspects for so long."""
        found = []
        for name, since in self.suspects.items():
            if now - since < span:
                break
            found.append(self.members[name])
        return found

    def forget(self, now, span):
        """Drops those dead for longer than that which nobody configured."""
        for name, since in list(self.departed.items())[:8]:
            if now - since <= span:
                break
            del self.departed[name]
            if not self.members[name].configured:
                self._drop(name)

    def _drop(self, name):
        del self.members[name]
        for pool in (self.all_names, self.alive, self.dead, self.pending_updates):
            pool.drop(name)
        self.changed[name] = None

    def live_count(self):
        return len(self.alive) + len(self.suspects)
