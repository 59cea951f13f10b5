"""The stored state of all members, and the rule by which updates are merged.

Two updates about a member are ordered by (incarnation, state, address), and merging takes the greater one. So
updates may come in any order, twice, or late. Each state has a list of its own, so that no call reads all
members.
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

# Unknown members above it are rejected; 8 MB with the longest names. Configured members are not limited
MAX_MEMBERS = 4096
MAX_REMOVAL_CHECKS = 8  # departed members checked in one call of `remove_departed`


class MemberTable:
    """The members, except this gateway. Times are ns of a clock that stands still while the gateway is
    stalled.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.all_names, self.alive, self.departed = NameSet(), NameSet(), NameSet()  # dead: or left
        self.suspected_since: dict[str, int] = {}  # by name: since when, the longest first
        self.departed_since: dict[str, int] = {}  # by name: since when dead or left, the longest first
        self.pending_updates = UpdateQueue()
        self.changed_names: dict[str, None] = {}  # of state changes since the reader last cleared this
        self.joined_names: dict[str, None] = {}  # names that became alive since the last order of probes
        self.rejected_count = 0  # messages and updates that were invalid

    def scale_by_doublings(self, count: int) -> int:
        """The count times the power of two of the number of members."""
        return count * max(1, ceil(log2(len(self.members) + 1)))

    def live_count(self) -> int:
        """The number of members that are alive or suspected."""
        return len(self.alive) + len(self.suspected_since)

    def set_configured_members(self, now: int, own_name: str, addresses: Mapping[str, str]) -> None:
        """`addresses`: of the configured gateways by name, which are the only members that are never
        forgotten.
        """
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
        """Stores an update if it overrides the stored one."""
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
        """Forgets members that were dead for more than `retention` ns and are not configured."""
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
        # The first incarnation of a configured member is no change that others need to learn.
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
        """Puts the member into the lists of its state, and removes it from all others."""
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
