"""What processes share, decided without I/O: gossip, which fades and only advises, and leases that the
members of a Raft group agreed on (`raft/`: the agreement; `leases/`: what is agreed on, the holder's side)."""
