"""What must always hold of keepers and permits; every check returns breaches as text, named first.

`check_one` looks at one keeper alone and is cheap: the keeper calls it after all that it hears.
`check_all` looks at all at once, as only a driver can.
"""

from hashlib import blake2b

import msgspec

from gaproute.shared.leases.invariants import check_holders, check_permits
from gaproute.shared.raft.messages import MAX_MEMBERS
from gaproute.shared.raft.sessions import OWN, SESSIONS

KEPT = 16  # breaches held by a keeper: the first ones tell


def check_one(keeper):
    """Cheap: a few comparisons with what was seen last time."""
    store, log, machine = keeper.store, keeper.log, keeper.machine
    came = []
    seen = keeper.seen
    now = store.life, store.term, keeper.commit, machine.fence, store.voted
    if seen is not None and seen[0] == now[0]:
        for name, was, value in zip(
            ("term", "commit index", "fencing number"), seen[1:4], now[1:4], strict=True
        ):
            if value < was:
                came.append(f"{name} only grows: {was} to {value} at {keeper.name}")
        if seen[1] == now[1] and seen[4][0] and seen[4] != now[4]:
            came.append(f"one vote a term: {seen[4]} to {now[4]} in {now[1]} at {keeper.name}")
    keeper.seen = now
    if not log.base <= keeper.applied <= keeper.commit <= log.last:
        came.append(
            f"applied after committed after held: {keeper.name} {log.base} {keeper.applied} "
            f"{keeper.commit} {log.last}"
        )
    if log.last_term > store.term:
        came.append(f"no entry of a later term: {log.last_term} above {store.term} at {keeper.name}")
    if keeper.leading is not (keeper.lead is not None):
        came.append(f"who leads has a leader's state: {keeper.name}")
    if len(keeper.sessions.table) > SESSIONS or keeper.lead and len(keeper.lead.others) > 2 * MAX_MEMBERS:
        came.append(f"maps are bounded: {keeper.name}")
    return came


def check_deep(keeper):
    """Dear: walks the log and all tables."""
    log = keeper.log
    terms = [log.base_term, *(entry.term for entry in log.entries)]
    came = [] if terms == sorted(terms) else [f"terms grow along the log: {keeper.name}"]
    table, owned = keeper.sessions.table, keeper.sessions.owned
    if sorted(table) != sorted(session for own in owned.values() for session in own):
        came.append(f"sessions have owners: {keeper.name}")
    if any(len(own) > OWN for own in owned.values()):
        came.append(f"session table bounded: {keeper.name}")
    return came + check_permits(keeper.machine)


class History:
    """What was seen before, held by the driver for a whole play."""

    def __init__(self):
        self.leaders = {}  # term: (name, life)
        self.agreed = {}  # index: entry that some keeper had as committed
        self.looked = {}  # (name, life): index up to which that was compared
        self.fences = {}  # fence: (resource, holder) that it was given to
        self.states = {}  # applied: digest of the state of all that applied so much


def check_all(keepers, holders, history):
    """`keepers`: those that live; `holders`: [(Holder, its own clock's time)]; `history`: a History."""
    came = []
    for keeper in keepers:
        came += keeper.breaches + check_deep(keeper)
        if keeper.leading:
            was = history.leaders.setdefault(keeper.term, (keeper.name, keeper.life))
            if was != (keeper.name, keeper.life):
                came.append(f"one leader a term: {was[0]} and {keeper.name} in {keeper.term}")
        came += _agreed(keeper, history)
        came += _fences(keeper, history)
    came += _matching(keepers)
    latest = max((each for each in keepers if not each.mute), key=lambda each: each.applied, default=None)
    if latest is not None:
        came += check_holders(latest.machine, holders)
    return came


def _agreed(keeper, history):
    """Committed entries are the same for ever, at everyone."""
    log, came = keeper.log, []
    first = max(log.base, min(history.looked.get((keeper.name, keeper.life), 0), keeper.commit))
    for index in range(first + 1, keeper.commit + 1):
        entry = log.entry(index)
        if history.agreed.setdefault(index, entry) != entry:
            came.append(f"never unsaid: entry {index} at {keeper.name}")
    if keeper.applied == keeper.commit != history.looked.get((keeper.name, keeper.life)):
        state = blake2b(keeper.sessions.pack(), digest_size=16).digest()
        if history.states.setdefault(keeper.applied, state) != state:
            came.append(f"same entries, same state: {keeper.name} after {keeper.applied}")
    history.looked[keeper.name, keeper.life] = keeper.commit
    return came


def _fences(keeper, history):
    came = []
    for fence, permit in keeper.machine.permits.items():
        given = permit.resource, permit.holder
        if history.fences.setdefault(fence, given) != given:
            came.append(f"a fencing number is given once: {fence} to {history.fences[fence]} and {given}")
    return came


def _matching(keepers):
    """Log matching: the same term at an index, the same entries up to there."""
    came = []
    for place, one in enumerate(keepers):
        for other in keepers[place + 1 :]:
            first = max(one.log.base, other.log.base)
            same = min(one.log.last, other.log.last)
            while same > first and one.log.term(same) != other.log.term(same):
                same -= 1
            mine = one.log.entries[first - one.log.base : same - one.log.base]
            if same > first and mine != other.log.entries[first - other.log.base : same - other.log.base]:
                came.append(f"log matching: {one.name} and {other.name} up to {same}")
    return came


def replay(keeper):
    """A line with all that is needed to look into a breach."""
    words = ("name", "life", "term", "role", "leader", "commit", "applied", "members", "mute")
    said = {word: getattr(keeper, word) for word in words}
    return msgspec.json.encode(
        {**said, "role": keeper.role.value, "base": keeper.log.base, "last": keeper.log.last}
    ).decode()
