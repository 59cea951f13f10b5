"""What is said of one gateway, a message of such words, and what is held of one member."""

from typing import NamedTuple

HIGHEST = 1 << 48  # incarnations above it are refused: they begin at ms since 1970, at most
NAME = 256  # characters of a name or an address
ROOM = 20  # bytes that one entry takes in a message beside its names, at most
ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")


class News(NamedTuple):
    name: str
    where: str
    state: int
    incarnation: int


class Word(NamedTuple):
    """One message. `ping` asks for an `ack` of the number; `ask` wants `target` probed for the sender; `pull`
    wants entries from the place `number` on, which a `part` brings: its number is the next place, 0 at the
    end."""

    kind: str
    number: int
    sender: News
    target: str = ""
    news: tuple = ()


class Member:
    def __init__(self, news, now, fixed):
        self.name, self.where, self.state, self.incarnation = news
        self.since = now  # in this state
        self.heard = None  # when it last answered or asked
        self.fixed = fixed  # named by the configuration

    @property
    def news(self):
        return News(self.name, self.where, self.state, self.incarnation)


def sound(news):
    """Whether a claim can be true at all."""
    return (
        0 < len(news.name) <= NAME
        and 0 < len(news.where) <= NAME
        and 0 <= news.state <= LEFT
        and 0 <= news.incarnation <= HIGHEST
    )


def size(news):
    """Bytes that the entry takes in a message, at most."""
    return ROOM + len(news.name.encode()) + len(news.where.encode())
