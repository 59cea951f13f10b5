"""The leader's side: entries to all, commits by majority (Raft 5.3, 5.4.2), and stepping down when a
majority is not heard any more (dissertation 6.2), so that holders are sent elsewhere."""

import msgspec

from gaproute.shared.raft.membership import next_membership
from gaproute.shared.raft.messages import AppendEntries, Entry, EntryKind, InstallSnapshot, Membership
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import BEAT, CHANGE, STATE_AGAIN, UNHEARD

PENDING = 512  # entries not yet agreed on: a megabyte at most; beyond it holders are told `busy`
LAPSES = 64  # permits let go in one turn; a leader that was stopped may find many


class Progress:
    """What is known of another keeper's log."""

    def __init__(self, following):
        self.next, self.match = following, 0
        self.life = 0  # by its last answer
        self.heard = None  # when that came
        self.flying = False  # entries are on their way
        self.state_at = None  # when a snapshot was sent


class LeaderState:
    def __init__(self, now, first, clocks):
        self.since, self.first, self.clocks = now, first, clocks
        self.beat = now  # when the next words are due
        self.others = {}  # name: Progress
        self.waiting = {}  # index: (holder, session, nonce) to be answered
        self.changed = now  # when members last changed

    def progress(self, name):
        if name not in self.others:
            self.others[name] = Progress(self.first)
        return self.others[name]


def propose(keeper, kind, session, nonce, body):
    """Puts an entry into the leader's log; its index, or 0 where too many are not yet agreed on.

    The entry with which a term begins is always taken: after a restart of all, nothing of a long log is
    known to be agreed on, and it is this entry that brings the agreement (5.4.2)."""
    index = keeper.log.last + 1
    if kind != EntryKind.NOOP and index - keeper.commit > PENDING:
        return 0
    keeper.store.put(index, Entry(keeper.term, kind, session, nonce, body))
    return index


def lives_heard(keeper, now):
    """name: life of those who answered lately, itself among them."""
    return {
        keeper.name: keeper.life,
        **{
            name: each.life
            for name, each in keeper.lead.others.items()
            if each.heard is not None and now - each.heard < UNHEARD
        },
    }


def all_have(keeper, now, index):
    """Whether all that answer have the entries up to `index`: then a snapshot makes nobody fetch it."""
    return all(
        each.match >= index
        for each in keeper.lead.others.values()
        if each.heard is not None and now - each.heard < UNHEARD
    )


def tick(keeper, now, out):
    lead = keeper.lead
    if now - lead.since >= UNHEARD and not keeper.most(lives_heard(keeper, now)):
        keeper.step_down(now)
        return
    for fence, at in lead.clocks.over(now, LAPSES):
        if not keeper.lapse(fence, at):
            lead.clocks.note(now, fence, at, BEAT)
    if now >= lead.beat:
        lead.beat = now + BEAT
        for name in [name for name in lead.others if name not in keeper.others()]:
            del lead.others[name]
        for name in keeper.others():
            lead.progress(name).flying = False
            _send(keeper, now, name, out)
        _change(keeper, now)


def _change(keeper, now):
    """One step of the members towards the configuration, once the last one is agreed on and so is an entry
    of the own term (the flaw of single-server changes that Ongaro published in 2015)."""
    lead = keeper.lead
    if keeper.log.rolls[-1][0] > keeper.commit or keeper.commit < lead.first or now - lead.changed < CHANGE:
        return
    matches = {name: (each.life, each.match) for name, each in lead.others.items()}
    members = next_membership(
        keeper.members, keeper.keepers, lives_heard(keeper, now), matches, keeper.commit
    )
    if members is not None and keeper.propose(
        EntryKind.MEMBERSHIP, body=msgspec.msgpack.encode(Membership(members))
    ):
        lead.changed = now


def advance(keeper, now, out):
    """Commits what a majority of the members has on disk, itself by what is synced."""
    have = sorted((_match(keeper, member) for member in keeper.members), reverse=True)
    index = have[len(have) // 2]
    if index > keeper.commit and keeper.log.term(index) == keeper.term:
        keeper.commit = index


def _match(keeper, member):
    if member.name == keeper.name:
        return keeper.log.last if member.life == keeper.life else 0
    each = keeper.lead.others.get(member.name)
    return each.match if each is not None and each.life == member.life else 0


def send(keeper, now, out):
    """New entries to all that are not busy with others."""
    for name in keeper.others():
        each = keeper.lead.progress(name)
        if not each.flying and keeper.log.base < each.next <= keeper.log.last:
            _send(keeper, now, name, out)


def _state_due(each, now):
    return each.state_at is None or now - each.state_at >= STATE_AGAIN


def _send(keeper, now, name, out):
    each, log = keeper.lead.progress(name), keeper.log
    if each.next <= log.base:
        if _state_due(each, now):
            each.state_at = now
            out.append(
                (
                    name,
                    InstallSnapshot(
                        keeper.term,
                        keeper.life,
                        log.base,
                        log.base_term,
                        log.members_at(log.base),
                        keeper.store.state,
                    ),
                )
            )
            return
        entries, before = (), log.base  # a heartbeat: it is not to run for office while it unpacks
    else:
        entries, before = log.behind(each.next), each.next - 1
        each.flying = bool(entries)
    out.append(
        (name, AppendEntries(keeper.term, keeper.life, before, log.term(before), keeper.commit, entries))
    )


def acked(keeper, now, sender, ack, out):
    if ack.term > keeper.term:
        keeper.enter(now, ack.term)
        return
    if keeper.role != Role.LEADER or ack.term < keeper.term:
        keeper.refuse("late")
        return
    each = keeper.lead.progress(sender)
    if each.life != ack.life:  # another disk: what was known of the old one is nothing to this
        each.life, each.match, each.next, each.state_at = ack.life, 0, keeper.log.last + 1, None
    each.heard, each.flying = now, False
    if ack.ok and ack.index > keeper.log.last:
        keeper.refuse("acknowledged what was not sent")
    elif ack.ok:
        each.match = max(each.match, ack.index)
        each.next = max(each.next, each.match + 1)
    else:
        each.next = max(each.match, min(each.next - 1, ack.index)) + 1
        if each.next > keeper.log.base or _state_due(each, now):
            _send(keeper, now, sender, out)
