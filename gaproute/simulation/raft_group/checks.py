"""What must hold of keepers and holders that only one who sees all of them, and true time, can tell."""

from itertools import pairwise

from gaproute.shared.leases.group_invariants import GroupHistory, check_group
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Reply,
    RequestVoteResponse,
)
from gaproute.shared.raft.records import VoteRecord, decode
from gaproute.simulation.fault_schedule import MEMORY


class SentMessageChecks:
    """For `InvariantChecks.sent`: what was told rests on what is on disk, and is not told otherwise later. It
    sees the words themselves, so that a keeper which forgot in a crash what it had told is found."""

    def __init__(self, play):
        self.keepers = set(play.keepers)  # asked for membership only
        self.votes, self.leaders, self.answers, self.acked = {}, {}, {}, {}

    def __call__(self, world, seat, to, message):
        if seat.name not in self.keepers:
            return
        if seat.disk.pending:
            yield f"on disk before it is told: {seat.name}, {message}, {len(seat.disk.pending)} unsynced"
        if isinstance(message, RequestVoteResponse) and message.vote_granted and not message.pre_vote:
            was = self.votes.setdefault((seat.name, message.incarnation, message.term), to)
            if was != to:
                yield f"one vote a term: {seat.name} gave {message.term} to {was} and {to}"
            last = next(
                (
                    record
                    for record in map(decode, reversed(seat.disk.durable))
                    if isinstance(record, VoteRecord)
                ),
                None,
            )
            if last is None or (last.term, last.name) != (message.term, to):
                yield f"a vote is on disk before it is told: {seat.name}, {message.term} to {to}, has {last}"
        elif isinstance(message, AppendEntriesResponse) and message.success:
            key = seat.name, message.incarnation, message.term
            self.acked[key] = max(message.match_index, self.acked.get(key, 0))
        elif isinstance(message, (AppendEntries, InstallSnapshot)):
            was = self.leaders.setdefault(message.term, (seat.name, message.incarnation))
            if was != (seat.name, message.incarnation):
                yield f"one leader a term: {was[0]} and {seat.name} in {message.term}"
        elif isinstance(message, Reply) and message.session and message.state == "done":
            was = self.answers.setdefault((to, message.session, message.nonce), message.body)
            if was != message.body:
                yield f"one answer a request: {to} was told {was} and {message.body}"


class NodeStateChecks:
    """For `InvariantChecks.touched`: a keeper with the same disk knows what it told before: its term, its
    vote. A leader was voted for by most, and commits by entries of its own term that most have. So what
    breaks the rules of the agreement is found at once, not only where harm comes of it, which takes
    several accidents more."""

    def __init__(self, told):
        self.told, self.terms, self.led = told, {}, {}

    def __call__(self, world, seat):
        if seat.name not in self.told.keepers:
            return
        keeper = seat.actor
        key = seat.name, keeper.incarnation
        term, was = keeper.term, self.terms.get(key, 0)
        if term < was and not keeper.storage_failure:
            yield f"term only grows: {seat.name} was in {was}, is in {term}"
        self.terms[key] = max(term, was) if not keeper.storage_failure else was
        voted = self.told.votes.get((*key, term))
        if voted is not None and keeper.store.voted_for[0] != voted:
            known = keeper.store.voted_for
            yield f"a vote is remembered: {seat.name} gave {term} to {voted}, knows of {known}"
        for (_, one), (_, other) in pairwise(keeper.log.membership_history):
            if one and len({*one} ^ {*other}) > 1:
                yield f"members change one at a time: {seat.name}, {one} to {other}"
        leads = self.told.leaders.get(term)
        if keeper.leader and leads is not None and leads[0] != keeper.leader:
            yield f"one leader a term: {seat.name} follows {keeper.leader} in {term}, which {leads[0]} leads"
        if keeper.is_leader:
            yield from self._leader(keeper, (*key, term))

    def _leader(self, keeper, key):
        before, commit, term = self.led.get(key), keeper.commit_index, keeper.term
        self.led[key] = commit
        if before is None and not self._most(keeper, self.told.votes, keeper.name):
            yield f"a leader has most votes: {keeper.name} leads {term} without"
        elif before is not None and commit > before:
            if keeper.log.term_at(commit) != term:
                yield f"a leader commits by its own term: {keeper.name} {commit} in {term}"
            if not self._most(keeper, self.told.acked, commit):
                yield f"committed is what most have: {keeper.name} {commit} in {term}"

    @staticmethod
    def _most(keeper, told, least):
        """Whether most members told so (a name: that one; a number: so much), each under the life of the
        roll."""
        count = 0
        for member in keeper.members:
            value = told.get((member.name, member.incarnation, keeper.term))
            count += (
                member.name == keeper.name
                or value is not None
                and (value == least if isinstance(least, str) else value >= least)
            )
        return 2 * count > len(keeper.members)


class LeaseValidityCheck:
    """True time: what all holders may do at one moment, each by its own clock, is never more than there is;
    and who comes later has the greater fencing number. Of a pool, the most that it was ever said to hold;
    names have one. Looked at when a holder has acted: in between a permit can only end. `leader(world)`
    and the terms that had one, where they are known: its end is then compared with the holder's."""

    def __init__(self, holders, pools, leader=lambda world: None, leaders=()):
        self.holders, self.leader, self.leaders = dict.fromkeys(holders), leader, leaders
        self.most = {name: max(sizes) for name, sizes in pools.items()}
        self.fences = {}  # name: the greatest that was held

    def __call__(self, world, seat):
        if seat.name not in self.holders:
            return
        spent, held, leader = {}, [], self.leader(world)
        if leader is not None and leader.actor.term != max(self.leaders, default=0):
            leader = None  # one that another has followed: nothing it says is agreed on
        for name in self.holders:
            other = world.seats[name]
            if other.actor is None or not other.actor.requests:
                continue
            own = other.clock.own(world.now)
            for wish in other.actor.requests:
                if wish.valid_at(own):
                    spent[wish.resource] = spent.get(wish.resource, 0) + wish.amount
                    held.append((other, wish))
        for resource, amount in spent.items():
            if amount > self.most.get(resource, 1):
                yield f"one holder at one true moment: {amount} of {resource} held"
        for other, wish in held:
            if wish.resource not in self.most:
                was = self.fences.get(wish.resource, 0)
                if wish.fencing_token < was:
                    token = wish.fencing_token
                    yield f"fencing numbers grow: {other.name}, {wish.resource} by {token} after {was}"
                self.fences[wish.resource] = wish.fencing_token
            if leader is not None:
                _, when = leader.actor.leader_state.timers.deadlines.get(wish.fencing_token, (0, None))
                if when is not None and leader.clock.true(when) < other.clock.true(wish.expires_at):
                    token = wish.fencing_token
                    yield f"the holder's end comes first: {other.name} after {leader.name}, {token}"


def agreed(play):
    """All that the keepers' own invariants say."""
    history = GroupHistory()

    def check(world):
        keepers = [world.seats[name].actor for name in play.keepers]
        holders = [world.seats[name] for name in play.holders]
        return check_group(
            [keeper for keeper in keepers if keeper is not None],
            [(seat.actor, seat.clock.own(world.now)) for seat in holders if seat.actor is not None],
            history,
        )

    return check


def came_right(play):
    """Some time after the last fault there is one leader, and what it says is agreed on; unless so many disks
    were lost that nobody can know what was agreed."""

    def check(world):
        lost = {fault.who[0] for fault in world.plan.faults if fault.kind in MEMORY}
        if 2 * len(lost) >= len(play.named) or not world.plan.settle:
            return
        up = [seat.actor for seat in world.places if seat.name in play.keepers]
        leaders = [keeper for keeper in up if keeper is not None and keeper.is_leader]
        if not leaders:
            seen = [(one.role.value, one.term, one.storage_failure) for one in up if one]
            yield f"a leader after the faults: none, {seen}"
        elif max(keeper.commit_index for keeper in leaders) < max(
            keeper.leader_state.first_index for keeper in leaders
        ):
            yield "a leader after the faults: nothing is agreed on"

    return check
