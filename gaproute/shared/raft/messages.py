"""The messages between the nodes of a group, and between its clients and its leader.

Every message is an immutable value. All numbers are bounded, so that a decoder rejects values that no node
can have sent. The tags and the order of the fields define the wire format and never change.

`incarnation` is the sender's random number, drawn when its disk was empty. The group identifies a node by its
name and incarnation: a node that lost its disk is another node, whose votes and answers do not count for the
old one.
"""

from enum import IntEnum, StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta

from gaproute.shared.messages import Count, Message, Name

# About as many entries as are logged in one heartbeat interval; they are small compared with a snapshot.
MAX_ENTRIES_PER_MESSAGE = 64
MAX_COMMAND_BYTES = 2048  # a command's names and numbers take a tenth of it
MAX_SNAPSHOT_BYTES = 4 << 20  # all leases and sessions at their limits take less
MAX_MEMBERS = 9  # 3 or 5 are intended; a member's replacement is added before the member is removed

Body = Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class EntryKind(IntEnum):
    """The kinds of log entries; the numbers are part of the wire and disk formats."""

    NOOP = 0
    MEMBERSHIP = 1
    OPEN_SESSION = 2
    COMMAND = 3


class Member(Message, frozen=True):
    """A member of the group. Part of the disk format."""

    name: Name
    incarnation: Count


Members = Annotated[tuple[Member, ...], Meta(max_length=MAX_MEMBERS)]


class Membership(Message, frozen=True):
    """The body of an entry of kind MEMBERSHIP: the members from this entry on. Part of the disk format.

    The fencing tokens of a new log begin above `fencing_base`; 0 leaves the last token as it is.
    """

    members: Members
    fencing_base: Count = 0


class Entry(Message, frozen=True):
    """An entry of the log. `session` and `nonce` are the client request's; they are 0 in a node's entry."""

    term: Count
    kind: EntryKind
    session: Count = 0
    nonce: Count = 0
    body: Body = b""


class BootstrapProbe(Message, frozen=True, tag=1):
    """A probe by a blank node that may start a log, and also the answer to such a probe.

    An answer echoes the incarnation of the probing node, which proves that the answer was made after that
    incarnation began; in a probe `echoed_incarnation` is 0. `blank` means that the sender never voted and
    never stored an entry.
    """

    incarnation: Count
    echoed_incarnation: Count
    blank: bool


class RequestVote(Message, frozen=True, tag=2):
    """A candidate requests a vote. With `pre_vote` it only asks whether the vote would be granted."""

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
    """The leader's entries that follow the entry at `prev_log_index`; a heartbeat if it has no entries."""

    term: Count
    incarnation: Count
    prev_log_index: Count
    prev_log_term: Count
    leader_commit: Count
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)] = ()


class AppendEntriesResponse(Message, frozen=True, tag=5):
    """The answer to AppendEntries and InstallSnapshot.

    With `success` the sender's log up to `match_index` equals the leader's log and is durable. Without it the
    leader should next send the entries after `match_index`.
    """

    term: Count
    incarnation: Count
    success: bool
    match_index: Count


class InstallSnapshot(Message, frozen=True, tag=6):
    """The state after the entry at `last_included_index`, for a follower that lacks compacted entries."""

    term: Count
    incarnation: Count
    last_included_index: Count
    last_included_term: Count
    members: Members
    state: Annotated[bytes, Meta(max_length=MAX_SNAPSHOT_BYTES)]


class Request(Message, frozen=True, tag=7):
    """A request of a client: a command, or the opening of a session (session 0, with an empty body).

    The nonce identifies a command within its session.
    """

    session: Count
    nonce: Count
    body: Body


class ReplyStatus(StrEnum):
    """The result of a request; the texts are part of the wire format."""

    DONE = "done"  # the body is the state machine's result, or `opened` is the new session
    NOT_LEADER = "elsewhere"  # `leader` has the leader's name if it is known
    BUSY = "busy"
    UNKNOWN_SESSION = "forgotten"
    REFUSED = "refused"  # the body has the reason as text


class Reply(Message, frozen=True, tag=8):
    """The reply to a client's request. `state` is a `ReplyStatus`; `opened` is the new session, or 0."""

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
