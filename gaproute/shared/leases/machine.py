"""The permits as all keepers apply them from the log: no clock, no chance, the same state everywhere.

A permit ends here only by an entry: given back by its holder, or lapsed by the leader's word. Which entry
last granted or renewed it is part of that word, so that a renewal that came first in the log wins.
"""

import msgspec

from gaproute.shared.leases.commands import (
    LONGEST,
    Answer,
    Give,
    Lapse,
    Renew,
    Size,
    Take,
    encode,
    kept,
    read,
    read_wish,
)
from gaproute.shared.messages import Message

PERMITS = 4096  # standing at once: hosts out and rooms lent of a large fleet; 200 bytes each
POOLS = 4096  # resources with a size of their own: hosts whose room is lent


class Permit(Message):
    fence: int
    resource: str
    holder: str
    amount: int
    span: int
    at: int  # index of the entry that granted or last renewed it


class State(Message):
    fence: int
    quiet: bool
    permits: list[Permit]
    pools: list[tuple[str, int, int]]


_read_state = msgspec.msgpack.Decoder(State).decode


class Permits:
    """`quiet`: nothing is granted until the leader has waited the longest span: a log is founded anew only
    when all disks are lost, and then permits of before may still be held. It harms the first start alone.
    """

    def __init__(self, quiet=True, longest=LONGEST):
        self.quiet, self.longest = quiet, longest
        self.fence = 0  # the last number given
        self.permits = {}  # fence: Permit
        self.held = {}  # resource: amount held
        self.pools = {}  # resource: (size, what was held above it when it shrank or 0)
        self.touched = None  # (fence, at, wait) by the last entry; wait None where it ended

    def size(self, resource):
        return self.pools.get(resource, (1, 0))[0]

    def check(self, sender, body):
        """Why the leader does not even write this down, or ''."""
        try:
            wish = read_wish(body)
        except ValueError:
            return "not understood"
        if wish.holder != sender:
            return "not the holder's own"
        return "too long a span" if getattr(wish, "span", 0) > self.longest else ""

    def found(self, base):
        self.fence = max(self.fence, base)

    def apply(self, index, body, owner=""):
        """Bytes of an Answer. `owner`: of the session; empty for a keeper's own word."""
        self.touched = None
        try:
            word = read(body)
        except ValueError:
            return encode(Answer("not understood"))
        if isinstance(word, Lapse):
            return encode(Answer("") if not owner and self._lapse(word) else Answer("not over"))
        if word.holder != owner:
            return encode(Answer("not the holder's own"))
        return encode(self._do(index, word))

    def _do(self, index, word):
        if isinstance(word, Take):
            return self._take(index, word)
        if isinstance(word, Size):
            return self._resize(word)
        permit = self.permits.get(word.fence)
        if permit is None or permit.holder != word.holder:
            return Answer("gone")
        if isinstance(word, Give):
            self._end(permit)
        elif isinstance(word, Renew):
            self._stand(msgspec.structs.replace(permit, span=word.span, at=index))
        return Answer("", permit.fence)

    def _take(self, index, word):
        held = self.held.get(word.resource, 0)
        if self.quiet:
            return Answer("quiet after founding")
        if len(self.permits) >= PERMITS:
            return Answer("too many permits")
        if word.amount > self.size(word.resource):
            return Answer("more than there is")
        if held + word.amount > self.size(word.resource):
            return Answer("taken")
        self.fence += 1
        self.held[word.resource] = held + word.amount
        self._stand(Permit(self.fence, word.resource, word.holder, word.amount, word.span, index))
        return Answer("", self.fence)

    def _stand(self, permit):
        self.permits[permit.fence] = permit
        self.touched = permit.fence, permit.at, kept(permit.span)

    def _resize(self, word):
        if word.resource not in self.pools and word.amount != 1 and len(self.pools) >= POOLS:
            return Answer("too many pools")
        self.pools[word.resource] = word.amount, 0
        self._settle(word.resource)
        return Answer()

    def _settle(self, resource):
        held = self.held.get(resource, 0)
        size = self.size(resource)
        if size == 1 and held <= 1:
            self.pools.pop(resource, None)  # as one that never had a size
        elif resource in self.pools:
            self.pools[resource] = size, held if held > size else 0

    def _lapse(self, word):
        if word.fence == 0:
            over, self.quiet = self.quiet, False
            return over
        permit = self.permits.get(word.fence)
        if permit is None or permit.at != word.at:
            return False
        self._end(permit)
        return True

    def _end(self, permit):
        del self.permits[permit.fence]
        self.touched = permit.fence, permit.at, None
        left = self.held[permit.resource] - permit.amount
        if left:
            self.held[permit.resource] = left
        else:
            del self.held[permit.resource]
        self._settle(permit.resource)

    def waits(self):
        """[(fence, at, ns)] that a leader waits, from when it became leader, before it lets each lapse."""
        quiet = [(0, 0, kept(self.longest))] if self.quiet else []
        return quiet + [(each.fence, each.at, kept(each.span)) for each in self.permits.values()]

    @staticmethod
    def lapse(fence, at):
        return encode(Lapse(fence, at))

    def pack(self):
        pools = [(name, *pool) for name, pool in self.pools.items()]
        return encode(State(self.fence, self.quiet, list(self.permits.values()), pools))

    def unpack(self, data):
        """Errors: ValueError."""
        state = _read_state(data)
        self.fence, self.quiet = state.fence, state.quiet
        self.permits = {permit.fence: permit for permit in state.permits}
        self.pools = {name: (size, over) for name, size, over in state.pools}
        self.held, self.touched = {}, None
        for permit in state.permits:
            self.held[permit.resource] = self.held.get(permit.resource, 0) + permit.amount
