"""Starts the group's first log, which is safe even if any node has lost its disk.

Only the first configured member, in order of names, starts a log. It first probes all other members, and
each must answer this incarnation of the first member that it is blank: it never voted and never stored an
entry. So no log is started while any node but the first has state. If the first member itself lost its disk,
the blank reports prove that no leader of an older log was elected: an election requires the vote of another
node, and a node that has voted is not blank.
"""

from __future__ import annotations

from gaproute.shared.raft.log import encode_membership
from gaproute.shared.raft.messages import BootstrapProbe, Entry, EntryKind, Member, Membership, Outbox
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection


def _may_bootstrap(node: NodeState) -> bool:
    return node.store.is_blank and node.name == node.configured_members[0]


def tick(node: NodeState, outbox: Outbox) -> None:
    """Asks all other nodes whether they are blank, if this node may start a log."""
    if not _may_bootstrap(node):
        return
    others = node.peer_names()
    if not others:
        _bootstrap(node)
    outbox.extend((name, BootstrapProbe(node.incarnation, 0, True)) for name in others)


def on_probe(node: NodeState, now: int, sender: str, message: BootstrapProbe, outbox: Outbox) -> None:
    """Answers a probe, or handles the answer to a probe of this node."""
    if not message.echoed_incarnation:
        outbox.append((sender, BootstrapProbe(node.incarnation, message.incarnation, node.store.is_blank)))
    elif message.echoed_incarnation != node.incarnation or not _may_bootstrap(node):
        node.reject(MessageRejection.BOOTSTRAP_IS_OVER)
    else:
        node.blank_peers.pop(sender, None)
        if message.blank:
            node.blank_peers[sender] = message.incarnation
        if all(name in node.blank_peers for name in node.peer_names()):
            _bootstrap(node)
            node.election_due = now


def _bootstrap(node: NodeState) -> None:
    incarnations = {**node.blank_peers, node.name: node.incarnation}
    members = tuple(Member(name, incarnations[name]) for name in node.configured_members)
    body = encode_membership(Membership(members, node.fencing_base))
    node.store.append(1, Entry(0, EntryKind.MEMBERSHIP, body=body))
