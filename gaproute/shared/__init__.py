"""State that several gateway processes share, without I/O.

Gossip (`gossip/`, based on `membership/`) expires and is only a hint. Leases are agreed on by a Raft group:
`raft/` has the consensus algorithm, `leases/` its state machine and the lease holder's client.
"""
