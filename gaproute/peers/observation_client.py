"""Requests observations from peers: after the start a snapshot, chunk by chunk, then the changes.

Observations stay usable if the peer that sent them fails. Each chunk is used as it arrives: the first one has
the instances that were used last, so it helps before the others have come. Times are ns.
"""

from collections.abc import Callable, Collection, Generator, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.reports.exchange_limits import (
    ANSWER_TIMEOUT,
    FETCH_PERIOD,
    MAX_ANSWER_BYTES,
    MAX_CHUNKS_PER_PEER,
    MAX_PEERS_AT_A_TIME,
    MAX_RETRIES,
    POLL_INTERVAL,
    RETRY_INTERVAL,
)
from gaproute.decisions.reports.observation_kinds import Subject
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.http1 import Exchange, Response
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.loop.promises import Coroutine
from gaproute.peers import observation_wire
from gaproute.peers.observation_messages import ObservationAnswer
from gaproute.peers.ports import EventLog, Peer
from gaproute.units import MILLI, SECOND

PUT_OFF = 503  # HTTP status of a peer that has no CPU time left for the answer
DEFAULT_PAUSE = 100 * MILLI  # until the next request, if the peer does not say when
MAX_PAUSE = SECOND
RETRY_AFTER_HEADER = b"gaproute-retry-after-ms"
MAX_HEAD_BYTES = 16_384  # of an answer
ASKED = "asked"  # the state of a peer that has not sent all observations yet, as operators see it


@dataclass
class PeerProgress:
    """How much one peer has sent so far."""

    cursor: int = 0  # of the next chunk; 0 before the first one and after the last one
    run_id: int = 0  # of the peer's process; its marks are valid for this process only
    mark: int = 0  # the changes after this mark are requested; 0 before the first complete snapshot
    received: int = 0  # number of observations
    retries: int = 0


class _ExchangeResult(NamedTuple):
    """The end of one request to a peer."""

    response: Response | None  # None: none came
    timed_out: bool


class ObservationClient:
    """Gets observations from peers.

    `follow(subjects)` hands the decisions the observations of these subjects as hints, and returns how many
    hints they use; `completed()` is called at the end of each snapshot.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Iterable[Peer],
        observations: SharedObservations,
        follow: Callable[[Collection[Subject]], int],
        completed: Callable[[], None],
        record: EventLog,
    ) -> None:
        self.observations = observations
        self.hints_taken = 0
        self.state: dict[str, str] = {}  # by peer, for operators
        self._loop, self._record = loop, record
        self._follow, self._completed = follow, completed
        self._ends_at = loop.now() + FETCH_PERIOD
        self._tasks: list[Coroutine] = []
        self.set_peers(peers)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Takes over the configured peers.

        Observations are requested of new peers for `FETCH_PERIOD` after the start, of `MAX_PEERS_AT_A_TIME`
        at a time.
        """
        for peer in peers:
            if peer.name in self.state or self._loop.now() >= self._ends_at:
                continue
            if list(self.state.values()).count(ASKED) >= MAX_PEERS_AT_A_TIME:
                break
            self.state[peer.name] = ASKED
            self._tasks.append(self._loop.spawn(self._learn(peer)))

    def close(self) -> None:
        """Ends all requests."""
        for task in self._tasks:
            task.cancel()

    def take(self, origin: str, requested_at: int, answer: ObservationAnswer) -> int:
        """Merges an answer and uses its observations; returns how many it had."""
        received = SharedObservations()
        observation_wire.read_observations(answer, requested_at, origin, received)
        self.observations.merge(received)
        # Only the subjects of this answer are used, but with the observations of all peers: a host is gone if
        # any of them reports it as gone.
        self.hints_taken += self._follow(received.by_subject)
        return len(received.by_subject)

    def _learn(self, peer: Peer) -> Generator[Promise, _ExchangeResult, None]:
        """Requests a snapshot of one peer, then its changes until the time is up."""
        progress = PeerProgress()
        for _ in range(MAX_CHUNKS_PER_PEER):
            requested_at = self._loop.now()
            if requested_at > self._ends_at:
                self.state[peer.name] = _end_state(progress)
                return
            result = yield self._exchange(peer, progress)
            pause = _pause(progress, result)
            if pause is not None:
                yield self._loop.sleep(pause)
                continue
            answer = _decode(result.response)
            if answer is None:
                self._drop(peer, progress)
                return
            progress.received += self.take(peer.name, requested_at, answer)
            progress.cursor = answer.next
            if progress.cursor:
                continue
            self._end_round(peer, progress, answer)
            if not progress.mark:
                return  # a peer of version 1 sends no changes
            yield self._loop.sleep(POLL_INTERVAL)

    def _end_round(self, peer: Peer, progress: PeerProgress, answer: ObservationAnswer) -> None:
        """Handles the last chunk of a snapshot or of changes."""
        if not progress.mark:
            self._completed()
            self._record.event(
                "info",
                "observations_fetched",
                peer=peer.name,
                observations=progress.received,
                hints_taken=self.hints_taken,
                rejected=self.observations.rejection_counts(),
            )
        self.state[peer.name] = f"told {progress.received} facts"
        progress.run_id, progress.mark = answer.life, answer.mark

    def _drop(self, peer: Peer, progress: PeerProgress) -> None:
        self.state[peer.name] = f"dropped after {progress.received} facts"
        self._record.event(
            "warning", "observation_fetch_abandoned", peer=peer.name, observations=progress.received
        )

    def _exchange(self, peer: Peer, progress: PeerProgress) -> Promise:
        """Sends the next request to the peer; a promise of its `_ExchangeResult`."""
        body = observation_wire.encode_request(progress.cursor, progress.run_id, progress.mark)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % observation_wire.TARGET
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        promise = Promise()
        exchange = Exchange(
            self._loop,
            data,
            lambda response, fault: promise.set(_ExchangeResult(response, timed_out=False)),
        )

        def time_up() -> None:
            exchange.cancel()
            promise.set(_ExchangeResult(None, timed_out=True))

        exchange.connect(parse_address(peer.where), ANSWER_TIMEOUT, MAX_HEAD_BYTES, MAX_ANSWER_BYTES)
        timer = self._loop.call_later(ANSWER_TIMEOUT, time_up)
        promise.then(lambda _: timer.cancel())
        return promise


def _pause(progress: PeerProgress, result: _ExchangeResult) -> int | None:
    """How long to wait before the same request is repeated; None if it is not."""
    response = result.response
    if response is not None and response.status == PUT_OFF:
        wait_ms = response.headers.get(RETRY_AFTER_HEADER, b"")
        return min(MAX_PAUSE, int(wait_ms) * MILLI) if wait_ms.isdigit() else DEFAULT_PAUSE
    absent = response is None and not result.timed_out and not progress.received
    if absent and progress.retries < MAX_RETRIES:
        progress.retries += 1  # the peer may be starting as well
        return RETRY_INTERVAL
    return None


def _decode(response: Response | None) -> ObservationAnswer | None:
    if response is None or response.status != 200:
        return None
    return observation_wire.decode_answer(response.body)


def _end_state(progress: PeerProgress) -> str:
    if progress.mark:
        return f"told {progress.received} facts"
    return f"out of time after {progress.received} facts"
