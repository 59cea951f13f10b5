"""The follower's side: entries and snapshots from the leader of the term (Raft 5.3, 7)."""

from gaproute.shared.raft.messages import AppendEntriesResponse
from gaproute.shared.raft.role import Role


def _leader(keeper, now, sender, message, out):
    """Whether the sender leads a term that is not over; then it is followed."""
    if message.term < keeper.term:
        out.append((sender, AppendEntriesResponse(keeper.term, keeper.life, False, 0)))
        return False
    if message.term > keeper.term:
        keeper.enter(now, message.term)
    if keeper.role == Role.LEADER:
        keeper.note([f"one leader a term: {sender} and {keeper.name} lead {keeper.term}"])
        return False
    keeper.step_down(now)
    keeper.leader, keeper.heard = sender, now
    keeper.put_off(now)
    return True


def append(keeper, now, sender, message, out):
    if not _leader(keeper, now, sender, message, out):
        return
    log, index, entries = keeper.log, message.index, message.entries
    if index < log.base:  # what the snapshot holds is committed: as the leader's
        entries = entries[log.base - index :]
        index = log.base
    elif log.term(index) != message.last:
        out.append((sender, AppendEntriesResponse(keeper.term, keeper.life, False, _before(log, index))))
        return
    for at, entry in enumerate(entries, index + 1):
        if log.term(at) == entry.term:
            continue
        if at <= keeper.commit:
            keeper.note([f"never unsaid: {sender} replaces {at}, committed to {keeper.commit}"])
            return
        try:
            keeper.store.put(at, entry)
        except ValueError:
            keeper.refuse("entry not understood")
            return
    end = index + len(entries)
    keeper.commit = max(keeper.commit, min(message.commit, end))
    out.append((sender, AppendEntriesResponse(keeper.term, keeper.life, True, end)))


def _before(log, index):
    """Where to try next: before the term that differs, so that a leader skips it whole."""
    if index > log.last:
        return log.last
    term, at = log.term(index), index
    while at > log.base and log.term(at) == term:
        at -= 1
    return at


def install(keeper, now, sender, message, out):
    if not _leader(keeper, now, sender, message, out):
        return
    if message.index > keeper.commit:
        try:
            keeper.sessions.unpack(message.state)
        except ValueError:
            keeper.refuse("snapshot not understood")
            return
        keeper.store.install(message.index, message.last, message.members, message.state)
        keeper.commit = keeper.applied = message.index
    out.append((sender, AppendEntriesResponse(keeper.term, keeper.life, True, message.index)))
