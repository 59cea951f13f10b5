"""State that processes share, without I/O.

Gossip expires and is only a hint (`gossip/`, over `membership/`). Leases are agreed on by the members of a
Raft group (`raft/`: the agreement; `leases/`: the state machine and the holder's side).
"""
