"""LeaseTable that this gateway holds for somebody who asks at the operators' address, such as a crew.

Who asked may die without a word, and the gateway would renew its permit for ever. So each errand has an end
of its own, by this gateway's clock from when it was asked for; who still needs the permit says so in time.
An asker counts from when it sent its own question, which was earlier, so its end is never the later one.
Harms a crew that forgets to ask again: its work then stands without a permit, as if the gateway had died.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.shared.leases.commands import MAX_DURATION, MIN_DURATION
from gaproute.shared.messages import HIGHEST, NAME

MILLI, SECOND = 1_000_000, 1_000_000_000

ERRANDS = 1024  # open at once: a wish each, of as many as the holder takes
TOLD = 60 * SECOND  # that one which is over is still told of: time to read why


Resource = Annotated[str, Meta(max_length=NAME)]


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """One of `take` (a resource), `keep` or `give` (an errand's number), `size` (a resource). Times in ms."""

    take: Resource = ""
    keep: int = 0
    give: int = 0
    size: Resource = ""
    amount: Annotated[int, Meta(ge=0, le=HIGHEST)] = 1
    span_ms: int = 30_000  # of the permit: how long it stays taken at most if this gateway dies
    for_ms: int = 0  # until the gateway gives it back unasked; 0: the span


read_order = msgspec.json.Decoder(Order).decode


class Errand:
    def __init__(self, wish, end):
        self.wish, self.end, self.over = wish, end, None


def _span(told, longest):
    if not MIN_DURATION <= told * MILLI <= longest:
        raise ValueError(f"{told} ms: {MIN_DURATION // MILLI} to {longest // MILLI} are possible")
    return told * MILLI


class Errands:
    """`longest`: ns of a permit, by the configuration. `first`: where this life's numbers begin, drawn anew
    at each start: who was away meanwhile must not take another's errand for its own. `due` and `tick` as of
    any part."""

    def __init__(self, holder, longest=MAX_DURATION, first=0):
        self.holder, self.longest = holder, longest
        self.errands, self.count = {}, first  # number: Errand

    def ask(self, now, order):
        """What the asker is told, as plain data. Errors: ValueError, by name."""
        asked = [word for word in ("take", "keep", "give", "size") if getattr(order, word)]
        if len(asked) != 1:
            raise ValueError("one of take, keep, give and size is asked for at a time")
        if asked == ["size"]:
            self.holder.resize_pool(now, order.size, order.amount)
            return {"size": order.size, "amount": order.amount}
        if asked == ["take"]:
            return self._take(now, order)
        number = order.keep or order.give
        errand = self.errands.get(number)
        if errand is None:
            raise ValueError(f"no errand {number}")
        if order.give:
            self.holder.release(now, errand.wish)
        elif errand.over is None:
            kept = _span(order.for_ms, MAX_DURATION) if order.for_ms else errand.wish.duration
            errand.end = max(errand.end, now + kept)
        return self.told(now, number)

    def _take(self, now, order):
        span = _span(order.span_ms, self.longest)
        kept = _span(order.for_ms, MAX_DURATION) if order.for_ms else span
        self.tick(now)
        if len(self.errands) >= ERRANDS:
            raise ValueError(f"{ERRANDS} errands at once")
        self.count += 1
        self.errands[self.count] = Errand(
            self.holder.acquire(now, order.take, span, order.amount), now + kept
        )
        return self.told(now, self.count)

    def told(self, now, number):
        errand = self.errands[number]
        wish = errand.wish
        left = min(wish.expires_at, errand.end) - now if wish.valid_at(now) else 0
        return {
            "errand": number,
            "resource": wish.resource,
            "amount": wish.amount,
            "state": "held" if left > 0 else "over" if wish.state == "held" else wish.state,
            "why": wish.reason,
            "fence": wish.fencing_token,
            "ms_left": max(0, left) // MILLI,
        }

    def table(self, now):
        return [self.told(now, number) for number in sorted(self.errands)]

    @property
    def due(self):
        return min(
            [errand.end if errand.over is None else errand.over + TOLD for errand in self.errands.values()],
            default=None,
        )

    def tick(self, now):
        """Gives back what nobody asked to keep, forgets what is long over."""
        for number, errand in list(self.errands.items()):
            if errand.over is None and now >= errand.end:
                self.holder.release(now, errand.wish)
            if errand.over is None and errand.wish.state not in ("asked", "held"):
                errand.over = now
            if errand.over is not None and now >= errand.over + TOLD:
                del self.errands[number]
