"""The actions that the generators of a gateway yield."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """Send the request to this host; resumed with the attempt's number."""

    host: str
    until: int = 1 << 62  # when it may begin at the latest, where it has to wait for its connection


class Wait(NamedTuple):
    """Resume the generator at the next outcome, or at this time."""

    until: int  # ns; not a whole number where it is computed from a median


class Cancel(NamedTuple):
    """Cancel this attempt of the request, as nobody waits for its answer any more."""

    attempt: int


class LoadOrder(NamedTuple):
    """Ask a host to load instances of a function."""

    host: str
    function: str
    copies: int  # how many instances are to be loaded there


class Probe(NamedTuple):
    """Ask a host for its load report."""

    host: str


class PollHostList(NamedTuple):
    """Ask for the host list and its changes."""


class Reject(NamedTuple):
    """The final answer to a request that provably did not run, or that may run again."""

    retry_after: int  # how long the client should wait before it tries again, ns; 0: not said
    reason: str = ""  # for the log


class Fail(NamedTuple):
    """The final answer to a request that may have run and must not run again."""


Action = Attempt | Wait | Cancel | LoadOrder | Probe | PollHostList | Reject | Fail
