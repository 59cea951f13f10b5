"""Plays a load script on an event loop.

Latency counts from when a request was meant to start, not from when a connection was free for it: a stall of
the server is not hidden by the waiting of the client.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Generator

from gaproute.load.connection import LoadConnection
from gaproute.load.connector import Connector
from gaproute.load.requests import RequestTemplates
from gaproute.load.results import LoadResult, RequestOutcome, TrafficResult
from gaproute.load.script import LoadScript, Storm, Traffic
from gaproute.load.slow_clients import SlowClient
from gaproute.load.traffic import ActiveTraffic, Deadline
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.units import MILLI, SECOND

POLL_INTERVAL = 20 * MILLI  # between checks whether all is open, or all has ended
DEADLINE_CHECK_INTERVAL = 50 * MILLI
PROGRESS_INTERVAL = SECOND


class LoadGenerator:
    """One play of a script.

    `results` are by name of the traffic, with those of the first requests after a storm apart. `counts` are
    of events by name. `report_progress` is given a line of text now and then.
    """

    def __init__(
        self,
        loop: Loop,
        script: LoadScript,
        seed: int = 1,
        report_progress: Callable[[str], object] | None = None,
    ) -> None:
        self.loop, self.script, self.seed = loop, script, seed
        self._report_progress = report_progress
        self.random = random.Random(seed)
        self.results = {line.name: TrafficResult() for line in script.traffic}
        self.counts: Counter[str] = Counter()
        self.connections: list[LoadConnection] = []
        self.started_at: int | None = None  # ns of the loop, when all connections are open
        self.ends_at: int | None = None  # ns of the loop, when no more requests are sent
        self.requests = RequestTemplates(self.random)
        self._traffic = {line.name: ActiveTraffic(line) for line in script.traffic}
        self._targets = [parse_address(target) for target in script.targets]
        self._connector = Connector(
            loop,
            self.random,
            self._targets,
            retry_delay=script.hold.again,
            counts=self.counts,
            on_open=self._connection_opened,
        )

    # What connections report

    def requests_sent(self, connection: LoadConnection, traffic: Traffic, deadline: int) -> None:
        """Count the requests and keep their deadline."""
        self.counts["asked"] += traffic.pipeline
        self._traffic[traffic.name].deadlines.append(Deadline(deadline, connection, connection.pending))

    def request_ended(self, connection: LoadConnection, intended_start: int, outcome: str) -> None:
        """Record the request's outcome and latency."""
        assert connection.traffic is not None
        now, name = self.loop.now(), connection.traffic.name
        second = max(0, now - self.started_at) // SECOND if self.started_at is not None else 0
        self.results[name].record(outcome, now - intended_start, second)
        if connection.in_storm:
            after_storm = self.results.setdefault(f"{name} after a storm", TrafficResult())
            after_storm.record(outcome, now - intended_start, second)
            connection.in_storm = False

    def connection_idle(self, connection: LoadConnection) -> None:
        """Give the connection what comes next: a pause, a request that waits, or a place among the idle."""
        traffic = connection.traffic
        if traffic is None:
            return
        active = self._traffic[traffic.name]
        if traffic.think and self.started_at is not None and self._is_sending():
            pause = round(self.random.expovariate(1 / traffic.think))
            self.loop.call_later(pause, self._pause_over, connection, connection.stream)
        elif active.waiting:
            connection.send_requests(traffic, active.waiting.popleft())
        else:
            active.idle.add(connection)

    def connection_lost(self, connection: LoadConnection) -> None:
        """Open the connection again after a while."""
        self._remove_from_idle(connection)
        if self.ends_at is None or self._is_sending():
            self._connector.open_later(connection)

    # Connections

    def open_connections(self) -> Generator[Promise, None, None]:
        """Coroutine: open all connections of the script; it ends when they are open."""
        hold, traffic = self.script.hold, self.script.traffic
        shares = [line.share for line in traffic]
        for number in range(hold.count):
            line = self.random.choices(traffic, shares)[0] if traffic else None
            connection = LoadConnection(self, source_address(number, hold.addresses), line)
            self.connections.append(connection)
            self._connector.open_later(connection, hold.over * number // hold.count)
        while self.open_count() < hold.count:
            yield self.loop.sleep(POLL_INTERVAL)
            if self._report_progress is not None:
                self._report_progress(f"open {self.open_count()} of {hold.count}")

    def open_count(self) -> int:
        """How many connections are open."""
        return sum(connection.is_open for connection in self.connections)

    def _connection_opened(self, connection: LoadConnection) -> None:
        if connection.in_storm and connection.traffic is not None:
            connection.send_requests(connection.traffic, self.loop.now())
        else:
            self.connection_idle(connection)

    def _remove_from_idle(self, connection: LoadConnection) -> None:
        if connection.traffic is not None:
            self._traffic[connection.traffic.name].idle.remove(connection)

    def _pause_over(self, connection: LoadConnection, stream: object) -> None:
        """Send the next request, unless the connection is another one by now."""
        traffic = connection.traffic
        if connection.stream is stream and traffic is not None and connection.is_open and self._is_sending():
            connection.send_requests(traffic, self.loop.now())

    # The script

    def play(self) -> Generator[Promise, None, None]:
        """Coroutine: open all connections, play the script's length, wait for answers, close."""
        yield from self.open_connections()
        self.start_requests()
        yield from self._wait_until_end()
        yield from self._wait_for_answers()
        self._finish()

    def start_requests(self) -> None:
        """Begin with the script's traffic, slow clients and storms."""
        self.started_at = self.loop.now()
        self.ends_at = self.started_at + self.script.length
        for active in self._traffic.values():
            self._start_traffic(active)
        for slow in self.script.slow:
            for _ in range(slow.count):
                client = SlowClient(self.loop, slow, self.random, self._targets, self.counts, self.ends_at)
                self.loop.spawn(client.play())
        for storm in self.script.storms:
            self.loop.call_later(storm.at, self._storm, storm)
        self.loop.spawn(self.watch_deadlines())

    def result(self) -> LoadResult:
        """What a result file keeps of this play."""
        return LoadResult(self.script.text, self.seed, dict(self.counts), self.results)

    def _start_traffic(self, active: ActiveTraffic) -> None:
        if active.line.rate:
            self.loop.spawn(self.arrivals(active.line))
            return
        for connection in active.idle.remove_all():
            self.connection_idle(connection)

    def arrivals(self, traffic: Traffic) -> Generator[Promise, None, None]:
        """Coroutine: requests at random times, on average `rate` a second, until the end of the load."""
        assert self.ends_at is not None
        active = self._traffic[traffic.name]
        intended_start = self.loop.now()
        while True:
            intended_start += round(self.random.expovariate(traffic.rate) * SECOND)
            if intended_start >= self.ends_at:
                return
            if intended_start > self.loop.now():
                yield self.loop.sleep(intended_start - self.loop.now())
            active.arrive(intended_start, self.random)

    def watch_deadlines(self) -> Generator[Promise, None, None]:
        """Coroutine without end: give up the requests whose deadline has passed."""
        while True:
            now = self.loop.now()
            for active in self._traffic.values():
                active.give_up_overdue(now)
            yield self.loop.sleep(DEADLINE_CHECK_INTERVAL)

    def _storm(self, storm: Storm) -> None:
        """Reset a share of the open connections and open them again, each with one request."""
        open_now = [connection for connection in self.connections if connection.is_open]
        for connection in self.random.sample(open_now, round(storm.share * len(open_now))):
            connection.drop(RequestOutcome.GIVEN_UP)
            self._remove_from_idle(connection)
            connection.in_storm = connection.traffic is not None
            self._connector.open_later(connection, self.random.randrange(max(1, storm.back)))
        self.counts["storms"] += 1

    # The end

    def _is_sending(self) -> bool:
        return self.ends_at is not None and self.loop.now() < self.ends_at

    def _wait_until_end(self) -> Generator[Promise, None, None]:
        assert self.ends_at is not None
        while self._is_sending():
            yield self.loop.sleep(min(PROGRESS_INTERVAL, self.ends_at - self.loop.now()))
            if self._report_progress is not None:
                self._report_progress(self._progress())

    def _progress(self) -> str:
        assert self.started_at is not None
        seconds = (self.loop.now() - self.started_at) // SECOND
        ended = sum(result.outcomes.total() for result in self.results.values())
        return f"{seconds} s: {self.open_count()} held, {self.counts['asked']} asked, {ended} ended"

    def _wait_for_answers(self) -> Generator[Promise, None, None]:
        """Coroutine: until all requests have ended, or the longest patience is over."""
        assert self.ends_at is not None
        last = self.ends_at + max((line.patience for line in self.script.traffic), default=0)
        while self.loop.now() < last and self._has_pending():
            yield self.loop.sleep(POLL_INTERVAL)

    def _has_pending(self) -> bool:
        in_flight = any(connection.pending for connection in self.connections)
        return in_flight or any(active.waiting for active in self._traffic.values())

    def _finish(self) -> None:
        """Record what was never sent, and close all connections."""
        for name, active in self._traffic.items():
            for intended_start in active.waiting:
                latency = self.loop.now() - intended_start
                self.results[name].record(RequestOutcome.NEVER_SENT, latency, 0)
        for connection in self.connections:
            connection.abort()


def source_address(number: int, count: int) -> str | None:
    """The local address of a connection where `count` loopback addresses are used in turn; None for any."""
    if count == 1:
        return None
    low = number % count + 1
    return f"127.1.{low >> 8}.{low & 255}"
