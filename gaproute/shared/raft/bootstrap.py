"""How the first log comes to be without anybody's memory being taken for granted.

Only the first by name of the configured keepers founds, and only when every other one has said, in answer
to this very life, that it never voted and never took an entry. So a keeper that lost its disk founds
nothing while any other remembers anything; and while the founder is the one that lost it, no leader of an
older log can have been elected, as that takes another's vote, and a vote ends being blank.
"""

import msgspec

from gaproute.shared.raft.messages import BootstrapProbe, Entry, EntryKind, Member, Membership


def tick(keeper, now, out):
    if not keeper.store.blank or keeper.name != keeper.keepers[0]:
        return
    others = keeper.others()
    if not others:
        _found(keeper)
    for name in others:
        out.append((name, BootstrapProbe(keeper.life, 0, True)))


def hello(keeper, now, sender, message, out):
    if not message.echo:
        out.append((sender, BootstrapProbe(keeper.life, message.life, keeper.store.blank)))
    elif message.echo != keeper.life or not keeper.store.blank or keeper.name != keeper.keepers[0]:
        keeper.refuse("founding is over")
    else:
        keeper.blanks.pop(sender, None)
        if message.blank:
            keeper.blanks[sender] = message.life
        if all(name in keeper.blanks for name in keeper.others()):
            _found(keeper)
            keeper.election = now


def _found(keeper):
    lives = {**keeper.blanks, keeper.name: keeper.life}
    members = tuple(Member(name, lives[name]) for name in keeper.keepers)
    keeper.store.put(
        1, Entry(0, EntryKind.MEMBERSHIP, body=msgspec.msgpack.encode(Membership(members, keeper.base)))
    )
