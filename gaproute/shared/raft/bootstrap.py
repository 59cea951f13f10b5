"""How the first log comes to be without anybody's memory being taken for granted.

Only the first by name of the configured keepers founds, and only when every other one has said, in answer
to this very incarnation, that it never voted and never took an entry. So a node that lost its disk founds
nothing while any other remembers anything; and while the founder is the one that lost it, no leader of an
older log can have been elected, as that takes another's vote, and a vote ends being blank.
"""

import msgspec

from gaproute.shared.raft.messages import BootstrapProbe, Entry, EntryKind, Member, Membership


def tick(node, now, out):
    if not node.store.is_blank or node.name != node.configured_members[0]:
        return
    others = node.peer_names()
    if not others:
        _bootstrap(node)
    for name in others:
        out.append((name, BootstrapProbe(node.incarnation, 0, True)))


def on_probe(node, now, sender, message, out):
    if not message.echoed_incarnation:
        out.append((sender, BootstrapProbe(node.incarnation, message.incarnation, node.store.is_blank)))
    elif (
        message.echoed_incarnation != node.incarnation
        or not node.store.is_blank
        or node.name != node.configured_members[0]
    ):
        node.reject("founding is over")
    else:
        node.blank_peers.pop(sender, None)
        if message.blank:
            node.blank_peers[sender] = message.incarnation
        if all(name in node.blank_peers for name in node.peer_names()):
            _bootstrap(node)
            node.election_due = now


def _bootstrap(node):
    incarnations = {**node.blank_peers, node.name: node.incarnation}
    members = tuple(Member(name, incarnations[name]) for name in node.configured_members)
    node.store.append(
        1, Entry(0, EntryKind.MEMBERSHIP, body=msgspec.msgpack.encode(Membership(members, node.fencing_base)))
    )
