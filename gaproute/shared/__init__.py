"""What processes share, decided without I/O.

Gossip fades and only advises (`gossip/`, over `membership/`). Leases are what the members of a Raft group
agreed on (`raft/`: the agreement; `leases/`: the state machine and the holder's side).
"""
