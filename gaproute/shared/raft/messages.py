"""What keepers say to one another and to holders. Every message is an immutable value; all numbers are
bounded here, so that a decoder refuses what no node could have said.

`incarnation` is the sender's: the number that its disk got when it was empty. A node is (name,
incarnation); one that lost its disk is another node, whose votes and acks nobody takes for the old one's.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta

from gaproute.shared.messages import Count, Message, Name

MAX_ENTRIES = 64  # entries in one message: a heartbeat's worth of work, small next to a snapshot
MAX_COMMAND_BYTES = 2048  # bytes of one command: names and a few numbers take a tenth of it
MAX_SNAPSHOT_BYTES = 4 << 20  # bytes of a snapshot: all permits and sessions at their bounds take less
MAX_MEMBERS = 9  # members at most: 3 or 5 are meant, one is added before another goes

Body = Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class EntryKind(IntEnum):
    """What an entry of the log is; the numbers are those on the wire and on disk."""

    NOOP = 0
    MEMBERSHIP = 1
    OPEN_SESSION = 2
    COMMAND = 3


class Member(Message):
    name: Name
    incarnation: Count


Members = Annotated[tuple[Member, ...], Meta(max_length=MAX_MEMBERS)]


class Membership(Message):
    """The body of an entry of kind MEMBERSHIP: who the members are from here on. `base`: where the founder
    wants fencing numbers to begin (0: no wish)."""

    members: Members
    base: Count = 0


class Entry(Message):
    """`session` and `nonce` name the holder's request; 0 where a node made the entry."""

    term: Count
    kind: EntryKind
    session: Count = 0
    nonce: Count = 0
    body: Body = b""


class BootstrapProbe(Message, tag=1):
    """From a node with an empty memory that may found; the answer echoes the asker's incarnation, so that it
    is from after that incarnation began. `blank`: never voted, never took an entry."""

    incarnation: Count
    echoed_incarnation: Count
    blank: bool


class RequestVote(Message, tag=2):
    """RequestVote. `last_log_index`, `last_log_term`: of the candidate's last entry. `pre_vote`: only
    whether it would be given."""

    term: Count
    incarnation: Count
    last_log_index: Count
    last_log_term: Count
    pre_vote: bool


class RequestVoteResponse(Message, tag=3):
    term: Count
    incarnation: Count
    pre_vote: bool
    vote_granted: bool


class AppendEntries(Message, tag=4):
    """A heartbeat without entries. `prev_log_index`, `prev_log_term`: of the entry before them."""

    term: Count
    incarnation: Count
    prev_log_index: Count
    prev_log_term: Count
    leader_commit: Count
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)] = ()


class AppendEntriesResponse(Message, tag=5):
    """`success`: all up to `match_index` is as the leader's and on disk. Otherwise: try
    behind `match_index`."""

    term: Count
    incarnation: Count
    success: bool
    match_index: Count


class InstallSnapshot(Message, tag=6):
    """InstallSnapshot: the state after the entry `last_included_index` of `last_included_term`. An
    AppendEntriesResponse answers."""

    term: Count
    incarnation: Count
    last_included_index: Count
    last_included_term: Count
    members: Members
    state: Annotated[bytes, Meta(max_length=MAX_SNAPSHOT_BYTES)]


class Request(Message, tag=7):
    """From a holder. Session 0 opens one (the body is empty). A nonce is used for one command of a
    session."""

    session: Count
    nonce: Count
    body: Body


class Reply(Message, tag=8):
    """`state`: `done` (body: the machine's answer; for an opened session its number is in `session`),
    `elsewhere` (not the leader; `leader` may name it), `busy`, `forgotten` (no such session), `refused`
    (body: why, as text). `opened`: 0, or the session that was opened."""

    session: Count
    nonce: Count
    state: Name
    body: Body = b""
    leader: Name = ""
    opened: Count = 0


MESSAGES = (
    BootstrapProbe
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | Request
    | Reply
)
