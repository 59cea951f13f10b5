"""The role of a node in its term."""

from enum import Enum


class Role(Enum):
    """The roles of Raft (section 5.1) and that of pre-vote (dissertation 9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether a majority would vote for it, in its old term
    CANDIDATE = "candidate"
    LEADER = "leader"
