"""What the generators yield."""

from typing import NamedTuple


class Attempt(NamedTuple):
    worker: str
    until: int = 1 << 62  # when it may begin at the latest, where it has to wait for its connection


class Wait(NamedTuple):
    until: int


class Cancel(NamedTuple):
    relay: int


class Order(NamedTuple):
    worker: str
    function: str
    copies: int


class Probe(NamedTuple):
    worker: str


class Listen(NamedTuple):
    """Ask for the list and its changes."""


class Reject(NamedTuple):
    stay_away: int  # advice to the client; 0: none
    why: str = ""  # a word for whoever follows the task


class Fail(NamedTuple):
    pass
