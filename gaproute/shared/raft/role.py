"""The role of a node in its term."""

from enum import Enum


class Role(Enum):
    """Raft's roles (Raft paper, 5.1) and that of a pre-vote (Ongaro's dissertation, 9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks for pre-votes, without raising its term
    CANDIDATE = "candidate"
    LEADER = "leader"
