"""What a holder may ask of the permits and what it is answered, as bytes in entries of the log."""

from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.shared.messages import HIGHEST, Message, Name

MILLI, SECOND = 1_000_000, 1_000_000_000

LONGEST = 600 * SECOND  # of a permit: how long a resource stays taken at most by a holder that died
SHORTEST = 100 * MILLI  # below it the renewals cost more than the permit is worth
BOUND = 10  # per mille by which any clock's rate may differ from true time (1%)
MOST_WISHES = 1024  # of one holder at once: the hosts of a large fleet, and a bound

Amount = Annotated[int, Meta(ge=0, le=HIGHEST)]
Span = Annotated[int, Meta(ge=SHORTEST, le=LONGEST)]
Fence = Annotated[int, Meta(ge=0, le=1 << 62)]


class Take(Message, tag=1):
    """`amount` of the resource (1 of a name) for `span` ns."""

    resource: Name
    holder: Name
    amount: Annotated[int, Meta(ge=1, le=HIGHEST)]
    span: Span


class Renew(Message, tag=2):
    fence: Fence
    holder: Name
    span: Span


class Give(Message, tag=3):
    fence: Fence
    holder: Name


class Size(Message, tag=4):
    """The pool holds `amount`. Less than is held: nothing new is granted until enough has come back."""

    resource: Name
    holder: Name
    amount: Amount


class Lapse(Message, tag=5):
    """From the leader alone: the permit last granted or renewed by the entry `at` has ended by its
    clock."""

    fence: Fence
    at: Amount


class Answer(Message):
    """`why` is empty where it was done."""

    why: Name = ""
    fence: Fence = 0


WISHES = Take | Renew | Give | Size
COMMANDS = WISHES | Lapse
encode = msgspec.msgpack.encode
read_wish = msgspec.msgpack.Decoder(WISHES).decode
read = msgspec.msgpack.Decoder(COMMANDS).decode
read_answer = msgspec.msgpack.Decoder(Answer).decode


def kept(span, bound=BOUND):
    """How long the keepers hold a resource taken that was granted for `span`, both ns by own clocks.

    The holder's clock runs at 1-b at least, so its span lasts span/(1-b) at most; the leader's runs at 1+b
    at most, so that its wait lasts kept/(1+b) at least. (1+3b)(1-b) >= 1+b for every b <= 1/3.
    """
    return span + -(-span * 3 * bound // 1000)
