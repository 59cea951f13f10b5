"""What is held of all members, and the one rule by which updates are merged.

One order decides between two updates about a member: (incarnation, state, address). So merging is taking the
greater, and updates may come in any order, twice, or late. Each state has a list of its own, so that nothing
walks all members.
"""

from collections.abc import Mapping
from itertools import islice
from math import ceil, log2

from gaproute.shared.membership.messages import MEMBER_STATES, Member, MemberState, MemberUpdate, is_valid
from gaproute.shared.membership.name_set import NameSet
from gaproute.shared.membership.update_queue import UpdateQueue

MAX_MEMBERS = 4096  # unknown ones are refused beyond it: 8 MB with the longest names; lists know no cap
REMOVALS = 8  # departed members looked at in one call of `remove_departed`


class MemberTable:
    """The members, this gateway not among them. Times are ns on a clock that stands while the gateway is
    stalled, so that nobody is judged by such a time."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.all_names, self.alive, self.dead = NameSet(), NameSet(), NameSet()  # dead: or left
        self.suspects: dict[str, int] = {}  # name: since when, the longest first
        self.departed: dict[str, int] = {}  # name: since when dead or left, the longest first
        self.pending_updates = UpdateQueue()
        self.changed: dict[str, None] = {}  # names whose state changed since the reader last cleared them
        self.joined: dict[str, None] = {}  # names that became alive since the last order of probes
        self.rejected = 0  # messages and updates out of their bounds

    def scaled(self, count: int) -> int:
        """The count, times the power of two of the members."""
        return count * max(1, ceil(log2(len(self.members) + 1)))

    def live_count(self) -> int:
        """Members that are alive or suspects."""
        return len(self.alive) + len(self.suspects)

    def configure(self, now: int, own_name: str, addresses: Mapping[str, str]) -> None:
        """`addresses`: of the configured gateways by name; the only members that are never forgotten."""
        for name, address in addresses.items():
            if name == own_name:
                continue
            if name not in self.members:
                self._add(now, MemberUpdate(name, address, MemberState.ALIVE, 0), configured=True)
            member = self.members[name]
            member.address, member.configured = address, True
        for name, member in self.members.items():
            if member.configured and name not in addresses:
                member.configured = False
                if member.state >= MemberState.DEAD:
                    self.departed[name] = now

    def apply(self, now: int, update: MemberUpdate) -> None:
        """Takes an update where it overrides what is held."""
        if not is_valid(update):
            self.rejected += 1
            return
        member = self.members.get(update.name)
        if member is None:
            self._add_unknown(now, update)
            return
        address = member.address if member.configured else update.address
        known = member.incarnation, member.state, member.address
        if (update.incarnation, update.state, address) > known:
            self._override(now, member, update, address)

    def expired_suspects(self, now: int, timeout: int) -> list[Member]:
        """The members that have been suspects for so many ns."""
        found = []
        for name, since in self.suspects.items():
            if now - since < timeout:
                break
            found.append(self.members[name])
        return found

    def remove_departed(self, now: int, retention: int) -> None:
        """Forgets members that were dead for more than so many ns and that nobody configured."""
        for name, since in list(islice(self.departed.items(), REMOVALS)):
            if now - since <= retention:
                break
            del self.departed[name]
            if not self.members[name].configured:
                self._remove(name)

    def _add_unknown(self, now: int, update: MemberUpdate) -> None:
        if len(self.members) >= MAX_MEMBERS:
            self.rejected += 1
        elif update.state < MemberState.DEAD:
            self._add(now, update, configured=False)
            self.pending_updates.put(update.name)

    def _override(self, now: int, member: Member, update: MemberUpdate, address: str) -> None:
        state_changed = update.state != member.state
        # Of a configured member the first incarnation is no news to anybody.
        if state_changed or member.incarnation:
            self.pending_updates.put(update.name)
        member.state, member.incarnation = MEMBER_STATES[update.state], update.incarnation
        member.address = address
        if state_changed:
            member.state_since = now
            self._index(now, member)

    def _add(self, now: int, update: MemberUpdate, *, configured: bool) -> None:
        member = Member(update, now, configured=configured)
        self.members[update.name] = member
        self.all_names.add(update.name)
        self._index(now, member)

    def _index(self, now: int, member: Member) -> None:
        """Puts the member into the lists of its state and takes it out of all others."""
        name = member.name
        self.suspects.pop(name, None)
        self.departed.pop(name, None)
        if member.state is MemberState.ALIVE:
            self.alive.add(name)
            self.joined[name] = None
        else:
            self.alive.discard(name)
        if member.state is MemberState.SUSPECT:
            self.suspects[name] = now
        if member.state >= MemberState.DEAD:
            self.dead.add(name)
            self.departed[name] = now
        else:
            self.dead.discard(name)
        self.changed[name] = None

    def _remove(self, name: str) -> None:
        del self.members[name]
        for names in (self.all_names, self.alive, self.dead, self.pending_updates):
            names.discard(name)
        self.changed[name] = None
