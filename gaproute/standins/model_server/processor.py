"""The cores of a stand-in host, shared evenly by the requests that run."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.standins.model_server.faults import ActiveFaults
from gaproute.standins.model_server.profiles import HostProfile
from gaproute.standins.model_server.requests import HostRequest
from gaproute.standins.model_server.warm_up import WarmUp

ROUNDING = 10_000  # ns: work that is done but for this is done, so that timers never spin


class Processor:
    """Runs requests until their work is done; `on_finished(request)` for each.

    Whatever changes the speed or the requests is preceded by `advance` and followed by `schedule`.
    """

    def __init__(
        self,
        loop: Loop,
        profile: HostProfile,
        warm_up: WarmUp,
        faults: ActiveFaults,
        on_finished: Callable[[HostRequest], object],
    ) -> None:
        self.loop, self.profile, self.warm_up, self.faults = loop, profile, warm_up, faults
        self.on_finished = on_finished
        self.running: list[HostRequest] = []
        self._advanced_at = loop.now()
        self._timer: Timer | None = None

    def rate(self, now: int) -> float:
        """Core time that each running request gets in one ns."""
        slowdown = self.faults.slowdown
        total = self.profile.cores * self.profile.speed * self.warm_up.power(now) / slowdown
        return min(total / len(self.running), self.profile.speed / slowdown)

    def utilization(self) -> float:
        """Share of the cores in use."""
        return min(1.0, len(self.running) / (self.profile.cores * self.warm_up.power(self.loop.now())))

    def start(self, request: HostRequest) -> None:
        """Runs the request from now on."""
        self.running.append(request)

    def advance(self) -> None:
        """Accounts for the work done until now."""
        now = self.loop.now()
        if self.running:
            done = self.rate(now) * (now - self._advanced_at)
            for request in self.running:
                request.work_left -= done
        self._advanced_at = now

    def schedule(self) -> None:
        """Sets the timer for the next request that will be done."""
        self._cancel_timer()
        if self.running:
            left = max(0.0, min(request.work_left for request in self.running))
            span = round(left / self.rate(self.loop.now())) + ROUNDING
            self._timer = self.loop.call_later(span, self._finish_done)

    def stop(self) -> None:
        """Drops all requests; nothing is called for them."""
        self._cancel_timer()
        self.running = []

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _finish_done(self) -> None:
        self.advance()
        for request in [request for request in self.running if request.work_left <= ROUNDING]:
            self.running.remove(request)
            self.on_finished(request)
        self.schedule()
