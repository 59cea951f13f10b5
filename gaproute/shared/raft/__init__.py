"""The agreement of the strong word: Raft (Ongaro and Ousterhout, 2014) among a few keepers, sans-I/O.

    node = RaftNode(name, keepers, disk, chance, now, machine=LeaseTable(), base=0)
        name      its own; `keepers`: names of all that the configuration names (own among them), 1 to 9
        disk      see below;  `chance.below(n)`;  `now`: own monotonic clock, int ns
        machine   what the entries mean (`gaproute.shared.leases.LeaseTable()`), a new one for every node
        base      where the founder begins fencing numbers: Unix time in ms, so that they grow even when all
                  disks were lost; 0 in tests
    node.due                        int ns when `tick` wants to be called; never None while it lives
    node.tick(now)                  -> [(to, message)]      `to`: a name
    node.hear(now, sender, message) -> [(to, message)]      messages are those of `messages.py`
    node.named(now, keepers)        the configuration changed: members follow it, one at a time
    node.leading, .term, .log, .commit, .applied, .machine, .members, .life, .mute, .refused (reason:
    count) invariants.check_one(node), check_all(keepers, holders, history) -> list of breaches as text

Nothing is told before it is on disk: `tick` and `hear` sync first and return nothing where that fails; the
node is then `mute` (why, as text) until writing all anew succeeds, tried every few seconds.

A crash: drop the RaftNode, make a new one with the same disk. The disk's face (OSError from any of them:
full, read-only, torn; the node falls silent):
    disk.read() -> list of records (bytes) as appended, or Lost(why)     empty list: a new disk
    disk.append(record)       may be lost by a crash until
    disk.sync()               has returned
    disk.replace(records)     all records replaced at once and synced; a crash leaves the old or the new
    ones disk.aside(why)           keeps what cannot be used under another name for the operator; then it
    is empty
An unsynced tail may be cut by a crash at any record. A record that was synced and cannot be read: Lost.
"""

from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.records import Lost

__all__ = ["RaftNode", "Lost"]
