"""The stored state of all members, and the rule by which updates are merged.

Updates about a member are ordered by (incarnation, state, address), and the greatest update is stored. So
updates may be received in any order, twice, or late. Each state has a list of its members, so that a call
does not have to read all members.
"""

from collections.abc import Mapping
from itertools import islice
from math import ceil, log2

from gaproute.shared.membership.messages import (
    MEMBER_STATES,
    Member,
    MemberState,
    MemberUpdate,
    is_valid_update,
)
from gaproute.shared.membership.name_set import NameSet
from gaproute.shared.membership.update_queue import UpdateQueue

# Beyond this number, unknown members are rejected; the table then takes 8 MB with the longest names.
# Configured members are not limited
MAX_MEMBERS = 4096
MAX_REMOVAL_CHECKS = 8  # of departed members in one call of `remove_departed`


class MemberTable:
    """All members except this gateway. Departed members are dead or have left.

    Times are ns of a clock that stops while this gateway is stalled.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.all_names, self.alive, self.departed = NameSet(), NameSet(), NameSet()
        self.suspected_since: dict[str, int] = {}  # time by name, the earliest first
        self.departed_since: dict[str, int] = {}  # time by name, the earliest first
        self.pending_updates = UpdateQueue()
        self.changed_names: dict[str, None] = {}  # members changed since the reader cleared it
        self.joined_names: dict[str, None] = {}  # members that became alive since `ProbeOrder` cleared it
        self.rejected_count = 0  # invalid messages and updates, and members beyond MAX_MEMBERS

    def scale_by_doublings(self, count: int) -> int:
        """`count` for every doubling of the number of members, rounded up; at least `count`."""
        return count * max(1, ceil(log2(len(self.members) + 1)))

    def live_count(self) -> int:
        """The number of members that are alive or suspected."""
        return len(self.alive) + len(self.suspected_since)

    def set_configured_members(self, now: int, own_name: str, addresses: Mapping[str, str]) -> None:
        """Replaces the configured members, which are never removed. `addresses`: by name."""
        for name, address in addresses.items():
            if name == own_name:
                continue
            if name not in self.members:
                self._add_member(now, MemberUpdate(name, address, MemberState.ALIVE, 0), configured=True)
            member = self.members[name]
            member.address, member.configured = address, True
        for name, member in self.members.items():
            if member.configured and name not in addresses:
                member.configured = False
                if member.state >= MemberState.DEAD:
                    self.departed_since[name] = now

    def apply_update(self, now: int, update: MemberUpdate) -> None:
        """Stores a valid update if it is greater than the stored one."""
        if not is_valid_update(update):
            self.rejected_count += 1
            return
        member = self.members.get(update.name)
        if member is None:
            self._add_unknown_member(now, update)
            return
        address = member.address if member.configured else update.address
        known = member.incarnation, member.state, member.address
        if (update.incarnation, update.state, address) > known:
            self._update_member(now, member, update, address)

    def expired_suspects(self, now: int, timeout: int) -> list[Member]:
        """The members that have been suspected for at least `timeout` ns."""
        found = []
        for name, since in self.suspected_since.items():
            if now - since < timeout:
                break
            found.append(self.members[name])
        return found

    def remove_departed(self, now: int, retention: int) -> None:
        """Removes unconfigured members that departed more than `retention` ns ago."""
        for name, since in list(islice(self.departed_since.items(), MAX_REMOVAL_CHECKS)):
            if now - since <= retention:
                break
            del self.departed_since[name]
            if not self.members[name].configured:
                self._remove_member(name)

    def _add_unknown_member(self, now: int, update: MemberUpdate) -> None:
        if len(self.members) >= MAX_MEMBERS:
            self.rejected_count += 1
        elif update.state < MemberState.DEAD:
            self._add_member(now, update, configured=False)
            self.pending_updates.put(update.name)

    def _update_member(self, now: int, member: Member, update: MemberUpdate, address: str) -> None:
        state_changed = update.state != member.state
        # Other members do not need the first incarnation of a configured member.
        if state_changed or member.incarnation:
            self.pending_updates.put(update.name)
        member.state, member.incarnation = MEMBER_STATES[update.state], update.incarnation
        member.address = address
        if state_changed:
            member.state_since = now
            self._update_state_lists(now, member)

    def _add_member(self, now: int, update: MemberUpdate, *, configured: bool) -> None:
        member = Member(update, now, configured=configured)
        self.members[update.name] = member
        self.all_names.add(update.name)
        self._update_state_lists(now, member)

    def _update_state_lists(self, now: int, member: Member) -> None:
        """Adds the member to the lists of its state, and removes it from all other lists."""
        name = member.name
        self.suspected_since.pop(name, None)
        self.departed_since.pop(name, None)
        if member.state is MemberState.ALIVE:
            self.alive.add(name)
            self.joined_names[name] = None
        else:
            self.alive.discard(name)
        if member.state is MemberState.SUSPECT:
            self.suspected_since[name] = now
        if member.state >= MemberState.DEAD:
            self.departed.add(name)
            self.departed_since[name] = now
        else:
            self.departed.discard(name)
        self.changed_names[name] = None

    def _remove_member(self, name: str) -> None:
        del self.members[name]
        for names in (self.all_names, self.alive, self.departed, self.pending_updates):
            names.discard(name)
        self.changed_names[name] = None
