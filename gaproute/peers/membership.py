"""Membership on datagrams: beside the address at which a gateway tells what it knows, by the same address for
UDP, by the path with `.words` added for Unix sockets."""

import time

from google.protobuf.message import DecodeError

from gaproute.loop.datagrams import Datagrams
from gaproute.peers import word_pb2
from gaproute.shared.membership import Membership, MembershipMessage, MemberUpdate, MessageKind

SECOND = 1_000_000_000
VERSION = 1
MESSAGE_KINDS = frozenset(MessageKind)  # a version that lacks one passes its messages over
CARRIED = {"weak": 6, "table": 7}  # other parts' words by the same datagrams: the number of their kind
MOST = 2000  # datagrams read in a second: 20 times what comes at 1,000 gateways. In a flood it
#                          harms, as words of others are passed over with it


def encode(word):
    made = word_pb2.Word(version=VERSION, kind=word.kind, number=word.sequence, target=word.target)
    for message, news in [(made.sender, word.sender), *((made.news.add(), news) for news in word.updates)]:
        message.name, message.where, message.state, message.incarnation = news
    return made.SerializeToString()


def decode(data):
    """The MembershipMessage, or None where it is none that is understood."""
    told = _read(data)
    return _word(told) if told is not None else None


def _read(data):
    try:
        told = word_pb2.Word.FromString(data)
    except DecodeError:
        return None
    return told if abs(told.version - VERSION) <= 1 else None


def _word(told):
    if told.kind not in MESSAGE_KINDS:
        return None
    news = [
        MemberUpdate(each.name, each.where, each.state, each.incarnation)
        for each in (told.sender, *told.news)
    ]
    return MembershipMessage(MessageKind(told.kind), told.number, news[0], told.target, tuple(news[1:]))


def at(where):
    return where + ".words" if where.startswith("unix:") else where


class MembershipTransport:
    """`datagrams(loop, where, heard)` makes the socket, `wall` tells ns since 1970: a simulation hands in its
    own."""

    def __init__(self, loop, name, where, chance, record, datagrams=Datagrams, wall=time.time_ns):
        self.loop, self.record = loop, record
        self.members = Membership(name, where, chance, loop.now(), wall() // 1_000_000)
        self.datagrams = datagrams(loop, at(where), self._heard)
        self.sent = self.bytes = self.undecodable = self.rate_limited = 0
        self.read, self.second = 0, 0  # datagrams read in this second
        self.carried = {}  # number of a kind: who takes it
        self.timer = None
        self._again()

    def configure(self, peers):
        self.members.configure(self.loop.now(), {peer.name: peer.where for peer in peers})
        self._note()

    def _again(self):
        due = self.members.due
        if self.timer is None or self.timer.call is None or self.timer.when != due:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.at(due, self._tick)

    def _tick(self):
        self.timer = None
        self._send(self.members.tick(self.loop.now()))
        self._note()
        self._again()

    def _heard(self, data):
        now = self.loop.now()
        if now - self.second >= SECOND:
            self.read, self.second = 0, now
        self.read += 1
        if self.read > MOST:
            self.rate_limited += 1
            return
        told = _read(data)
        if told is not None and told.kind in self.carried:
            self.carried[told.kind](told.sender.name, told.weak)
            return
        word = _word(told) if told is not None else None
        if word is None:
            self.undecodable += 1
            return
        self._send(self.members.receive(now, word))
        self._note()
        self._again()

    def _send(self, words):
        for where, word in words:
            data = encode(word)
            self.sent += 1
            self.bytes += len(data)
            self.datagrams.send(data, at(where))

    def carry(self, kind, heard):
        """`heard(sender's name, data)` for each word of that kind; see CARRIED."""
        self.carried[CARRIED[kind]] = heard

    def uncarry(self, kind):
        """Words of that kind are strange again."""
        self.carried.pop(CARRIED[kind], None)

    def post(self, where, kind, data):
        """Sends another part's word; its sender is told by name alone."""
        made = word_pb2.Word(version=VERSION, kind=CARRIED[kind], weak=data)
        made.sender.name = self.members.name
        data = made.SerializeToString()
        self.sent += 1
        self.bytes += len(data)
        self.datagrams.send(data, at(where))

    def _note(self):
        for name in self.members.table.changed:
            member = self.members.members.get(name)
            if member is not None:
                self.record.event(
                    "info", "gateway", name=name, state=member.state.label, incarnation=member.incarnation
                )
        self.members.table.changed.clear()

    def table(self):
        now = self.loop.now() - self.members.held
        return [
            {
                "name": member.name,
                "where": member.address,
                "state": member.state.label,
                "incarnation": member.incarnation,
                "since_ms": (now - member.state_since) // 1_000_000,
                "heard_ms": None
                if member.last_heard is None
                else (self.loop.now() - member.last_heard) // 1_000_000,
                "configured": member.configured,
            }
            for _, member in sorted(self.members.members.items())
        ]

    def stop(self):
        self._send(self.members.leave())

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        self.datagrams.close()
