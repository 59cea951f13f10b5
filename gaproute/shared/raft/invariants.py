"""What must always hold of keepers and permits; every check returns breaches as text, named first.

`check_one` looks at one node alone and is cheap: the node calls it after all that it hears.
`check_all` looks at all at once, as only a driver can.
"""

from hashlib import blake2b

import msgspec

from gaproute.shared.leases.invariants import check_clients, check_table
from gaproute.shared.raft.messages import MAX_MEMBERS
from gaproute.shared.raft.sessions import MAX_SESSIONS, MAX_SESSIONS_PER_CLIENT

MAX_BREACHES = 16  # breaches held by a node: the first ones tell


def check_one(node):
    """Cheap: a few comparisons with what was seen last time."""
    store, log, machine = node.store, node.log, node.machine
    came = []
    seen = node.last_check
    now = store.incarnation, store.term, node.commit_index, machine.last_token, store.voted_for
    if seen is not None and seen[0] == now[0]:
        for name, was, value in zip(
            ("term", "commit index", "fencing number"), seen[1:4], now[1:4], strict=True
        ):
            if value < was:
                came.append(f"{name} only grows: {was} to {value} at {node.name}")
        if seen[1] == now[1] and seen[4][0] and seen[4] != now[4]:
            came.append(f"one vote a term: {seen[4]} to {now[4]} in {now[1]} at {node.name}")
    node.last_check = now
    if not log.snapshot_index <= node.last_applied <= node.commit_index <= log.last_index:
        came.append(
            f"applied after committed after held: {node.name} {log.snapshot_index} {node.last_applied} "
            f"{node.commit_index} {log.last_index}"
        )
    if log.last_term > store.term:
        came.append(f"no entry of a later term: {log.last_term} above {store.term} at {node.name}")
    if node.is_leader is not (node.leader_state is not None):
        came.append(f"who leads has a leader's state: {node.name}")
    if (
        len(node.sessions.table) > MAX_SESSIONS
        or node.leader_state
        and len(node.leader_state.followers) > 2 * MAX_MEMBERS
    ):
        came.append(f"maps are bounded: {node.name}")
    return came


def check_deep(node):
    """Dear: walks the log and all tables."""
    log = node.log
    terms = [log.snapshot_term, *(entry.term for entry in log.entries)]
    came = [] if terms == sorted(terms) else [f"terms grow along the log: {node.name}"]
    table, owned = node.sessions.table, node.sessions.owned
    if sorted(table) != sorted(session for own in owned.values() for session in own):
        came.append(f"sessions have owners: {node.name}")
    if any(len(own) > MAX_SESSIONS_PER_CLIENT for own in owned.values()):
        came.append(f"session table bounded: {node.name}")
    return came + check_table(node.machine)


class History:
    """What was seen before, held by the driver for a whole play."""

    def __init__(self):
        self.leaders = {}  # term: (name, incarnation)
        self.agreed = {}  # index: entry that some node had as committed
        self.looked = {}  # (name, incarnation): index up to which that was compared
        self.fences = {}  # fence: (resource, holder) that it was given to
        self.states = {}  # applied: digest of the state of all that applied so much


def check_all(keepers, holders, history):
    """`keepers`: those that live; `holders`: [(LeaseClient, its own clock's time)]; `history`: a History."""
    came = []
    for node in keepers:
        came += node.breaches + check_deep(node)
        if node.is_leader:
            was = history.leaders.setdefault(node.term, (node.name, node.incarnation))
            if was != (node.name, node.incarnation):
                came.append(f"one leader a term: {was[0]} and {node.name} in {node.term}")
        came += _agreed(node, history)
        came += _fences(node, history)
    came += _matching(keepers)
    latest = max(
        (each for each in keepers if not each.storage_failure),
        key=lambda each: each.last_applied,
        default=None,
    )
    if latest is not None:
        came += check_clients(latest.machine, holders)
    return came


def _agreed(node, history):
    """Committed entries are the same for ever, at everyone."""
    log, came = node.log, []
    first = max(
        log.snapshot_index, min(history.looked.get((node.name, node.incarnation), 0), node.commit_index)
    )
    for index in range(first + 1, node.commit_index + 1):
        entry = log.entry_at(index)
        if history.agreed.setdefault(index, entry) != entry:
            came.append(f"never unsaid: entry {index} at {node.name}")
    if node.last_applied == node.commit_index != history.looked.get((node.name, node.incarnation)):
        state = blake2b(node.sessions.pack(), digest_size=16).digest()
        if history.states.setdefault(node.last_applied, state) != state:
            came.append(f"same entries, same state: {node.name} after {node.last_applied}")
    history.looked[node.name, node.incarnation] = node.commit_index
    return came


def _fences(node, history):
    came = []
    for fence, lease in node.machine.leases.items():
        given = lease.resource, lease.holder
        if history.fences.setdefault(fence, given) != given:
            came.append(f"a fencing number is given once: {fence} to {history.fences[fence]} and {given}")
    return came


def _matching(keepers):
    """Log matching: the same term at an index, the same entries up to there."""
    came = []
    for place, one in enumerate(keepers):
        for other in keepers[place + 1 :]:
            first = max(one.log.snapshot_index, other.log.snapshot_index)
            same = min(one.log.last_index, other.log.last_index)
            while same > first and one.log.term_at(same) != other.log.term_at(same):
                same -= 1
            mine = one.log.entries[first - one.log.snapshot_index : same - one.log.snapshot_index]
            if (
                same > first
                and mine
                != other.log.entries[first - other.log.snapshot_index : same - other.log.snapshot_index]
            ):
                came.append(f"log matching: {one.name} and {other.name} up to {same}")
    return came


def replay(node):
    """A line with all that is needed to look into a breach."""
    words = ("name", "incarnation", "term", "role", "leader", "commit", "applied", "members", "mute")
    said = {word: getattr(node, word) for word in words}
    return msgspec.json.encode(
        {**said, "role": node.role.value, "base": node.log.snapshot_index, "last": node.log.last_index}
    ).decode()
