"""Builders shared by the tests: terms, lists, tasks, outcomes, and a driver for one generator."""

from gaproute import interface as face
from gaproute.policy import MILLI, SECOND, Gateway

PURE = face.Track(face.Effect.PURE, face.Group.ALL, 0, SECOND, 4 * SECOND, 1.0)
RECEIPTED = PURE._replace(effect=face.Effect.RECEIPTED, repeat_window=2 * SECOND)
EFFECTFUL = PURE._replace(effect=face.Effect.EFFECTFUL)
TERMS = face.Terms(
    (PURE, RECEIPTED, EFFECTFUL),
    (),
    1.0,
    10 * SECOND,
    True,
    3,
    0.1,
    5 * SECOND,
    True,
    True,
    True,
    False,
    True,
    True,
    4,
    SECOND,
    0.2,
    10 * SECOND,
    False,
)


def row(name, **told):
    return face.Listed(
        name,
        told.get("zone", 0),
        told.get("cell", 0),
        told.get("state", face.State.ACTIVE),
        told.get("capacity", 1.0),
        told.get("started"),
    )


def gateway(*rows, **terms):
    made = Gateway(7, TERMS._replace(**terms), 0)
    made.listed(0, rows or [row("a"), row("b"), row("c")], True)
    return made


def task(name="t", function="f", track=0, time_left=4 * SECOND):
    return face.Task(name, 0, time_left, function, 4, None, track)


class Drive:
    """Plays the caller for one task: numbers its relays, keeps its wishes, hands over its outcomes."""

    def __init__(self, made, asked, now=0):
        self.gateway, self.name, self.sent, self.ended = made, asked.id, [], False
        self.serve = made.serve(now, asked)
        self.wishes = self.go(None)

    def go(self, value):
        wishes = []
        try:
            while True:
                wish = self.serve.send(value)
                wishes.append(wish)
                value = None
                if isinstance(wish, face.Wait):
                    break
                if isinstance(wish, face.Relay):
                    value = len(self.sent)
                    self.sent.append(wish.worker)
        except StopIteration:
            self.ended = True
        self.wishes = wishes
        return wishes

    def hears(self, now, result, relay=0, **told):
        heard = face.Outcome(
            self.name,
            relay,
            self.sent[relay],
            result,
            told.get("took", 100 * MILLI),
            told.get("ended", result is face.Result.OK),
            told.get("found", face.Found.WARM),
            told.get("alike"),
            None,
        )
        self.gateway.heard(now, heard)
        return self.go((now, heard))

    def late(self, now):
        return self.go((now, None))
