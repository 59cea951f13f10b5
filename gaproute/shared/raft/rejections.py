"""The reasons for which a node rejects a message."""

from enum import StrEnum


class MessageRejection(StrEnum):
    """The reasons for a rejection; the texts appear in the gateway's log and in the node's counts."""

    UNKNOWN_SENDER = "stranger"
    UNKNOWN_TYPE = "not a message of the group"
    TERM_TOO_HIGH = "term from far future"
    LATE = "late"
    BOOTSTRAP_IS_OVER = "founding is over"
    LEADER_IS_ALIVE = "asked while a leader is heard"
    INVALID_ENTRY = "entry not understood"
    INVALID_SNAPSHOT = "snapshot not understood"
    NEVER_SENT_ENTRY = "acknowledged what was not sent"
    INVALID_REQUEST = "request not understood"
    REFUSED_REQUEST = "request refused"
    BUSY = "busy"
