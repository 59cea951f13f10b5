"""Which news one message carries: the least told first, then a few entries in turn."""

from gaproute.shared.membership.messages import (
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    encoded_size,
)

TOLD = 3  # times that each piece of news is sent for every power of two of the members
MAX_MESSAGE_BYTES = 1200  # of one message: fits an unfragmented datagram everywhere
HEAD = 32  # of them beside the sender's names, the target and the entries, at most
FILL = 320  # bytes up to which a message with less news is filled with entries in turn: what was
#                          lost or held back is mended unasked; more of it costs bytes only
ASKED = 400  # bytes of an `ask`: three go out at once where a path is lossy


class UpdateQueue:
    """Names by how often their news was told; after so many times they leave it."""

    def __init__(self):
        self.rows, self.place = [{}], {}  # rows[k]: names told k times, the oldest first

    def __len__(self):
        return len(self.place)

    def __iter__(self):
        for row in self.rows:
            yield from row

    def put(self, name):
        self.drop(name)
        self.place[name] = 0
        self.rows[0][name] = None

    def drop(self, name):
        place = self.place.pop(name, None)
        if place is not None:
            del self.rows[place][name]

    def told(self, name, most):
        place = self.place.get(name)
        if place is None:
            return
        self.drop(name)
        if place + 1 < most:
            while len(self.rows) <= place + 1:
                self.rows.append({})
            self.place[name] = place + 1
            self.rows[place + 1][name] = None


class MessageBuilder:
    def __init__(self, name, where):
        self.name, self.address, self.turn = name, where, 0

    def message(self, table, incarnation, kind, number, target="", first=None):
        """A message with as much news as it holds: `first`, what its receiver must refute, then what is new,
        then entries in turn."""
        me = MemberUpdate(self.name, self.address, MemberState.ALIVE, incarnation)
        left = (
            (ASKED if kind == MessageKind.PING_REQUEST else MAX_MESSAGE_BYTES)
            - HEAD
            - encoded_size(me)
            - len(target.encode())
        )
        chosen = {} if first is None else {first.name: first.update}
        left -= sum(encoded_size(news) for news in chosen.values())
        for name in table.pending_updates:
            member = table.members[name]
            left -= encoded_size(member)
            if left < 0:
                break
            chosen[name] = member.update
        most = table.scale(TOLD)
        for name in chosen:
            table.pending_updates.told(name, most)
        left -= MAX_MESSAGE_BYTES - FILL
        names = table.all_names.names
        for _ in range(min(len(names), FILL // 20)):
            member = table.members[names[self.turn % len(names)]]
            left -= encoded_size(member)
            if left < 0:
                break
            chosen.setdefault(member.name, member.update)
            self.turn = (self.turn + 1) % len(names)
        return MembershipMessage(kind, number, me, target, tuple(chosen.values()))

    def part(self, table, incarnation, place):
        """A chunk of all that is held, from that place on."""
        me = MemberUpdate(self.name, self.address, MemberState.ALIVE, incarnation)
        left, news, names, place = (
            MAX_MESSAGE_BYTES - HEAD - encoded_size(me),
            [],
            table.all_names.names,
            max(0, place),
        )
        while place < len(names):
            member = table.members[names[place]]
            left -= encoded_size(member)
            if left < 0:
                break
            news.append(member.update)
            place += 1
        return MembershipMessage(MessageKind.CHUNK, place if place < len(names) else 0, me, "", tuple(news))
