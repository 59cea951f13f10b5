"""When gateways were down or stood still, and which lost requests that explains. Imports nothing that it
judges.

Three things alone explain a request without its answer: its gateway was killed without a warning while it
held the request; it was killed after a SIGTERM, no sooner than the operators do, just as the request came; it
stood still (SIGSTOP) when the answer was due. A gateway that ends by itself after a SIGTERM explains nothing:
it owes an answer to whatever it has read.
"""

from collections import defaultdict
from typing import NamedTuple

from gaproute.judge.facts import CLIENT_GONE, LATE_ANSWER

FOREVER = 1 << 62  # ns, after any day's end
IN_FLIGHT = CLIENT_GONE  # before a SIGKILL that was announced: what comes then cannot be answered any more


class Absence(NamedTuple):
    """A gateway's process has ended and no new one has started."""

    begin: int
    end: int
    asked: int | None  # when it got a SIGTERM before
    killed: bool  # by SIGKILL; else it ended by itself


class Stall(NamedTuple):
    """A gateway's process stood still."""

    begin: int
    end: int


class _Life:
    """One gateway's events in their order, as far as they were read."""

    def __init__(self):
        self.absences, self.stalls = [], []
        self.asked = self.gone = self.stopped = None

    def ending(self, at):
        self.asked = at

    def stop(self, at):
        if self.gone is None and self.stopped is None:
            self.stopped = at

    def go_on(self, at):
        if self.stopped is not None:
            self.stalls.append(Stall(self.stopped, at))
            self.stopped = None

    def end(self, at, killed):
        self.go_on(at)
        if self.gone is None:  # a second kill, of a process that still starts, begins nothing anew
            self.gone = at, self.asked, killed
        self.asked = None

    def start(self, at):
        self.go_on(at)
        if self.gone is not None:
            begin, asked, killed = self.gone
            self.absences.append(Absence(begin, at, asked, killed))
        self.gone = self.asked = None


class Downtime:
    """All gateways' absences and stalls, by the events of the run: "ending" (SIGTERM), "killed", "ended" (by
    itself), "started", "stopped", "continued"."""

    def __init__(self, run):
        lives = defaultdict(_Life)
        for event in sorted(run, key=lambda event: event["at"]):
            if "gateway" in event:
                self._read(lives[event["gateway"]], event["what"], event["at"])
        for life in lives.values():
            life.start(FOREVER)
        self.absences = {gateway: life.absences for gateway, life in lives.items()}
        self.stalls = {gateway: life.stalls for gateway, life in lives.items()}

    @staticmethod
    def _read(life, what, at):
        match what:
            case "ending":
                life.ending(at)
            case "killed" | "ended":
                life.end(at, what == "killed")
            case "stopped":
                life.stop(at)
            case "continued":
                life.go_on(at)
            case "started":
                life.start(at)

    def explains(self, end, kill_after):
        """Whether the gateway could not answer the request whose event at the client this is."""
        gateway, at = end["gateway"], end["at"]
        if end["what"] == "overdue" and any(
            stall.begin <= at <= stall.end + LATE_ANSWER for stall in self.stalls.get(gateway, ())
        ):
            return True
        return any(
            self._took(absence, end["asked"], at, kill_after) for absence in self.absences.get(gateway, ())
        )

    @staticmethod
    def _took(absence, asked, at, kill_after):
        """Whether the request was lost with the process that ended then, or came when there was none."""
        if not absence.begin <= at <= absence.end or asked > absence.end:
            return False
        if asked >= absence.begin:
            return True
        if absence.asked is None:
            return absence.killed
        late_enough = absence.begin - absence.asked >= kill_after
        return absence.killed and late_enough and asked >= absence.begin - IN_FLIGHT
