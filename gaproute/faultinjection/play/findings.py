"""What a play of the fault injector is checked for, and what it finds.

Each check has a name, so that a test can show which check catches a planted fault.
"""

from dataclasses import dataclass
from enum import Enum


class Check(Enum):
    """The checks of a play; the value says what must hold."""

    ONE_ANSWER = "each request whose client stayed has exactly one final answer"
    IN_TIME = "the final answer comes before the deadline"
    NOT_TWICE = "nothing that may not be repeated runs twice"
    NOT_FOR_NOBODY = "nothing begins over 0.1 s after its client left"
    NOT_AFTER_ANSWER = "nothing begins after the final answer"
    TRIED_AGAIN = "what no host was sent does not end as what may have run"
    DEADLINE_SENT = "the deadline passed to a host is at most what the client has left"
    READABLE = "what the far ends are sent can be read"
    DRAINING_RESPECTED = "nothing goes to a host past the grace after it was reported draining"
    DESCRIPTORS = "no descriptor is left over"
    WATCHED = "no descriptor is watched for nobody"
    TIMERS = "no timer is left over"
    HELD = "no request, connection or attempt is held for nobody"
    NO_ERROR = "no error escapes"
    NO_SPIN = "the loop does not turn without end while nothing happens"
    RECOVERS = "service is back once the faults are over"
    PEERS_RECOVER = "gateways hear each other once the faults are over"
    STARTS = "the gateway starts although calls fail for a moment"
    STOPS = "the gateway stops within the time that SIGTERM grants"


@dataclass(frozen=True)
class Finding:
    """A check that did not hold."""

    check: Check
    text: str

    def __str__(self) -> str:
        return f"{self.check.name}: {self.text}"
