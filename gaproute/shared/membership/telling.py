"""Which news one message carries."""
from gaproute.shared.membership.news import ALIVE, News, Word

TOLD = 3                 # times that each piece of news is sent for every power of two of the members
BYTES = 1200             # of one message: fits an unfragmented datagram everywhere
ROOM = 48                # bytes that one entry takes beside its names, at most


def message(members, to, kind, number, target=""):
    """A message with as much news as it holds: what `to` must refute, what is new, then entries in
    turn."""
    me = News(members.name, members.where, ALIVE, members.incarnation)
    left = BYTES - ROOM - len(members.name) - len(members.where) - len(target)
    fresh = sorted((member for member in members.members.values() if member.told < members.scale(TOLD)),
                   key=lambda member: (member.told, member.name))
    names = list(members.members)
    turn = members.turn % len(names) if names else 0
    chosen = {}
    for member in ([to] if to.state != ALIVE else []) + fresh + [
            members.members[name] for name in names[turn:] + names[:turn]]:
        size = ROOM + len(member.name) + len(member.where)
        if member.name not in chosen:
            if left < size:
                break
            left -= size
            chosen[member.name] = member.news
            member.told += 1
            members.turn += 1
    return to.where, Word(kind, number, me, target, tuple(chosen.values()))
