"""The messages between the nodes of a group, and between its clients and its leader.

Every message is an immutable value. All numbers are bounded, so that a decoder rejects what no node can have
sent. Tags and the order of the fields are the form on the wire and never change.

`incarnation` is the sender's: the number that its disk got when it was empty. To the group a node is (name,
incarnation); one that lost its disk is another node, whose votes and answers do not count for the old one.
"""

from enum import IntEnum, StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta

from gaproute.shared.messages import Count, Message, Name

# About as many entries as are logged in one heartbeat interval; they are small compared with a snapshot.
MAX_ENTRIES_PER_MESSAGE = 64
MAX_COMMAND_BYTES = 2048  # of one command; names and a few numbers take a tenth of it
MAX_SNAPSHOT_BYTES = 4 << 20  # of a snapshot; all leases and sessions at their bounds take less
MAX_MEMBERS = 9  # of a group; 3 or 5 are intended, and one is added before another is removed

Body = Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class EntryKind(IntEnum):
    """The kinds of log entries; the numbers are those on the wire and on disk."""

    NOOP = 0
    MEMBERSHIP = 1
    OPEN_SESSION = 2
    COMMAND = 3


class Member(Message, frozen=True):
    """A member of the group. Part of a stored form."""

    name: Name
    incarnation: Count


Members = Annotated[tuple[Member, ...], Meta(max_length=MAX_MEMBERS)]


class Membership(Message, frozen=True):
    """The body of an entry of kind MEMBERSHIP: the members from this entry on. A stored form.

    `fencing_base`: the fencing tokens of a new log begin above it; 0 does not change them.
    """

    members: Members
    fencing_base: Count = 0


class Entry(Message, frozen=True):
    """An entry of the log. `session` and `nonce`: of the client's request; 0 if a node made the entry."""

    term: Count
    kind: EntryKind
    session: Count = 0
    nonce: Count = 0
    body: Body = b""


class BootstrapProbe(Message, frozen=True, tag=1):
    """From a node with an empty disk that may begin a log; also the answer to it.

    The answer repeats the asking node's incarnation, which proves that it was made after that began. `blank`:
    the sender never voted and never took an entry.
    """

    incarnation: Count
    echoed_incarnation: Count
    blank: bool


class RequestVote(Message, frozen=True, tag=2):
    """A candidate requests a vote. `pre_vote`: only the question whether it would be granted."""

    term: Count
    incarnation: Count
    last_log_index: Count
    last_log_term: Count
    pre_vote: bool


class RequestVoteResponse(Message, frozen=True, tag=3):
    """The answer to RequestVote."""

    term: Count
    incarnation: Count
    pre_vote: bool
    vote_granted: bool


class AppendEntries(Message, frozen=True, tag=4):
    """The leader's entries after the entry `prev_log_index`; without entries a heartbeat."""

    term: Count
    incarnation: Count
    prev_log_index: Count
    prev_log_term: Count
    leader_commit: Count
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)] = ()


class AppendEntriesResponse(Message, frozen=True, tag=5):
    """The answer to AppendEntries and InstallSnapshot.

    `success`: the log up to `match_index` equals the leader's and is durable. Otherwise the leader should try
    the entries after `match_index`.
    """

    term: Count
    incarnation: Count
    success: bool
    match_index: Count


class InstallSnapshot(Message, frozen=True, tag=6):
    """The state after the entry `last_included_index`, for a follower that is too far behind."""

    term: Count
    incarnation: Count
    last_included_index: Count
    last_included_term: Count
    members: Members
    state: Annotated[bytes, Meta(max_length=MAX_SNAPSHOT_BYTES)]


class Request(Message, frozen=True, tag=7):
    """From a client. Session 0 opens a session, with an empty body. A nonce identifies a command of a
    session.
    """

    session: Count
    nonce: Count
    body: Body


class ReplyStatus(StrEnum):
    """The result of a request; the texts are those on the wire."""

    DONE = "done"  # the body is the machine's result; `opened` is the session where one was asked for
    NOT_LEADER = "elsewhere"  # `leader` may name it
    BUSY = "busy"
    UNKNOWN_SESSION = "forgotten"
    REFUSED = "refused"  # the body says why, as text


class Reply(Message, frozen=True, tag=8):
    """To a client. `state`: a `ReplyStatus`. `opened`: the session that was opened, or 0."""

    session: Count
    nonce: Count
    state: Name
    body: Body = b""
    leader: Name = ""
    opened: Count = 0


RaftMessage: TypeAlias = (
    BootstrapProbe
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | Request
    | Reply
)
Outbox: TypeAlias = list[tuple[str, RaftMessage]]  # (receiver's name, message)
