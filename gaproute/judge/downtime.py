"""When gateways were down or paused, and which lost requests that explains.

Three things alone explain a request without its answer: its gateway was killed without a warning while it
had the request in flight; it was killed after a SIGTERM, no sooner than the operators do, just as the request
came; it was paused (SIGSTOP) when the answer was due. A gateway that ends by itself after a SIGTERM explains
nothing: it owes an answer to whatever it has read.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from gaproute.judge.events import EndKind, GatewayEvent, GatewayEventKind, RequestEnd
from gaproute.judge.link_faults import END_OF_TIME
from gaproute.judge.terms import CLIENT_LEFT_GRACE, LATE_ANSWER_GRACE

# Before a SIGKILL that was announced by a SIGTERM: what comes then cannot be answered any more.
UNANSWERABLE_BEFORE_KILL = CLIENT_LEFT_GRACE


class Absence(NamedTuple):
    """From `begin` to `end`, ns, a gateway had no process."""

    begin: int
    end: int
    terminated_at: int | None  # when it got a SIGTERM before
    killed: bool  # by SIGKILL; else it ended by itself


class Pause(NamedTuple):
    """From `begin` to `end`, ns, a gateway's process was stopped by SIGSTOP."""

    begin: int
    end: int


class ProcessEnd(NamedTuple):
    """The end of a gateway's process after which none has started yet."""

    at: int
    terminated_at: int | None
    killed: bool


class GatewayHistory:
    """The absences and pauses of one gateway, by its events in the order of time."""

    def __init__(self) -> None:
        self.absences: list[Absence] = []
        self.pauses: list[Pause] = []
        self.terminated_at: int | None = None  # when the process got a SIGTERM
        self.process_end: ProcessEnd | None = None  # None while there is a process
        self.paused_at: int | None = None

    def apply(self, event: GatewayEvent) -> None:
        """What happened next."""
        match event.kind:
            case GatewayEventKind.TERMINATING:
                self.terminated_at = event.at
            case GatewayEventKind.KILLED | GatewayEventKind.ENDED:
                self._end_process(event.at, killed=event.kind is GatewayEventKind.KILLED)
            case GatewayEventKind.PAUSED:
                if self.process_end is None and self.paused_at is None:
                    self.paused_at = event.at
            case GatewayEventKind.RESUMED:
                self._end_pause(event.at)
            case GatewayEventKind.STARTED:
                self.start(event.at)

    def start(self, at: int) -> None:
        """A new process runs, or the day is over."""
        self._end_pause(at)
        if self.process_end is not None:
            ended_at, terminated_at, killed = self.process_end
            self.absences.append(Absence(ended_at, at, terminated_at, killed))
        self.process_end = self.terminated_at = None

    def _end_process(self, at: int, *, killed: bool) -> None:
        self._end_pause(at)
        if self.process_end is None:  # else a process that still starts was killed: the absence continues
            self.process_end = ProcessEnd(at, self.terminated_at, killed)
        self.terminated_at = None

    def _end_pause(self, at: int) -> None:
        if self.paused_at is not None:
            self.pauses.append(Pause(self.paused_at, at))
            self.paused_at = None


class Downtime:
    """The absences and pauses of all gateways of a day."""

    def __init__(self, events: Iterable[GatewayEvent]) -> None:
        self.histories: defaultdict[int, GatewayHistory] = defaultdict(GatewayHistory)
        for event in sorted(events, key=lambda event: event.at):
            self.histories[event.gateway].apply(event)
        for history in self.histories.values():
            history.start(END_OF_TIME)

    def explains(self, end: RequestEnd, kill_after: int) -> bool:
        """Whether the gateway could not answer the request. `kill_after`: as in `terms.kill_after`, ns."""
        history = self.histories.get(end.gateway)
        if history is None:
            return False
        if end.kind in (EndKind.OVERDUE, EndKind.ANSWERED_LATE) and any(
            pause.begin <= end.at <= pause.end + LATE_ANSWER_GRACE for pause in history.pauses
        ):
            return True
        return any(_lost_by(absence, end, kill_after) for absence in history.absences)


def _lost_by(absence: Absence, end: RequestEnd, kill_after: int) -> bool:
    """Whether the request was lost with the process that ended then, or came when there was none."""
    if not absence.begin <= end.at <= absence.end or end.sent_at > absence.end:
        return False
    if end.sent_at >= absence.begin:
        return True
    if absence.terminated_at is None:
        return absence.killed
    late_enough = absence.begin - absence.terminated_at >= kill_after
    return absence.killed and late_enough and end.sent_at >= absence.begin - UNANSWERABLE_BEFORE_KILL
