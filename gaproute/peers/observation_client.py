"""Fetches observations from peers: first a snapshot, chunk by chunk, then the changes since the snapshot.

Observations stay usable if the peer that sent them fails. Each chunk is used as soon as it arrives: the first
chunk has the most recently used instances, so it helps before the other chunks arrive. Times are ns.
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

HTTP_SERVICE_UNAVAILABLE = 503  # HTTP status of a peer whose CPU budget for answers is spent
DEFAULT_RETRY_DELAY = 100 * MILLI  # if the peer's 503 response has no valid retry header
MAX_RETRY_DELAY = SECOND
RETRY_AFTER_HEADER = b"gaproute-retry-after-ms"
MAX_RESPONSE_HEAD_BYTES = 16_384
FETCHING_STATE = "asked"  # state shown to operators while a peer's snapshot is incomplete


@dataclass
class FetchProgress:
    """How much of its observations one peer has sent so far."""

    cursor: int = 0  # cursor of the next chunk; 0 before the first chunk and after the last one
    run_id: int = 0  # identifies the run of the peer's process; `mark` is valid in that run only
    mark: int = 0  # changes after this mark are requested; 0 until the first snapshot is complete
    received_observations: int = 0
    retries: int = 0


class _ExchangeResult(NamedTuple):
    """How one request to a peer ended."""

    response: Response | None  # None if the request failed or timed out
    timed_out: bool


class ObservationClient:
    """Fetches observations from peers.

    `apply_observations(subjects)` passes the observations of these subjects to the routing decisions as hints
    and returns how many hints were used; `on_snapshot_complete()` is called at the end of each snapshot.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Iterable[Peer],
        observations: SharedObservations,
        apply_observations: Callable[[Collection[Subject]], int],
        on_snapshot_complete: Callable[[], None],
        record: EventLog,
    ) -> None:
        self.observations = observations
        self.hints_taken = 0
        self.state_by_peer: dict[str, str] = {}  # by name of the peer, as shown to operators
        self._loop, self._record = loop, record
        self._apply_observations, self._on_snapshot_complete = apply_observations, on_snapshot_complete
        self._fetching_ends_at = loop.now() + FETCH_PERIOD
        self._fetch_tasks: list[Coroutine] = []
        self.set_peers(peers)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Starts to fetch observations from peers that are new in the configuration.

        Fetching ends `FETCH_PERIOD` after the start of this gateway. At most `MAX_PEERS_AT_A_TIME` snapshots
        are fetched at the same time.
        """
        for peer in peers:
            if peer.name in self.state_by_peer or self._loop.now() >= self._fetching_ends_at:
                continue
            if list(self.state_by_peer.values()).count(FETCHING_STATE) >= MAX_PEERS_AT_A_TIME:
                break
            self.state_by_peer[peer.name] = FETCHING_STATE
            self._fetch_tasks.append(self._loop.spawn(self._fetch_observations(peer)))

    def close(self) -> None:
        """Stops fetching and cancels all requests."""
        for task in self._fetch_tasks:
            task.cancel()

    def merge_answer(self, origin: str, requested_at: int, answer: ObservationAnswer) -> int:
        """Merges and applies the observations of an answer; returns their number."""
        received = SharedObservations()
        observation_wire.read_observations(answer, requested_at, origin, received)
        self.observations.merge(received)
        # Only the subjects of this answer are applied, but with the observations of all peers: a host is gone
        # if any peer reports it as gone.
        self.hints_taken += self._apply_observations(received.by_subject)
        return len(received.by_subject)

    def _fetch_observations(self, peer: Peer) -> Generator[Promise, _ExchangeResult, None]:
        """Fetches a snapshot from one peer, then its changes until the fetch period ends."""
        progress = FetchProgress()
        for _ in range(MAX_CHUNKS_PER_PEER):
            requested_at = self._loop.now()
            if requested_at > self._fetching_ends_at:
                self.state_by_peer[peer.name] = _final_state(progress)
                return
            result = yield self._send_request(peer, progress)
            delay = _retry_delay(progress, result)
            if delay is not None:
                yield self._loop.sleep(delay)
                continue
            answer = _decode_response(result.response)
            if answer is None:
                self._abandon_fetch(peer, progress)
                return
            progress.received_observations += self.merge_answer(peer.name, requested_at, answer)
            progress.cursor = answer.next
            if progress.cursor:
                continue
            self._finish_transfer(peer, progress, answer)
            if not progress.mark:
                return  # a peer with protocol version 1 sends no changes
            yield self._loop.sleep(POLL_INTERVAL)

    def _finish_transfer(self, peer: Peer, progress: FetchProgress, answer: ObservationAnswer) -> None:
        """Handles the last chunk of a snapshot, or of the changes since one."""
        if not progress.mark:
            self._on_snapshot_complete()
            self._record.event(
                "info",
                "observations_fetched",
                peer=peer.name,
                observations=progress.received_observations,
                hints_taken=self.hints_taken,
                rejected=self.observations.rejection_counts(),
            )
        self.state_by_peer[peer.name] = f"told {progress.received_observations} facts"
        progress.run_id, progress.mark = answer.life, answer.mark

    def _abandon_fetch(self, peer: Peer, progress: FetchProgress) -> None:
        self.state_by_peer[peer.name] = f"dropped after {progress.received_observations} facts"
        self._record.event(
            "warning",
            "observation_fetch_abandoned",
            peer=peer.name,
            observations=progress.received_observations,
        )

    def _send_request(self, peer: Peer, progress: FetchProgress) -> Promise:
        """Sends the next request to the peer; returns a promise of its `_ExchangeResult`."""
        body = observation_wire.encode_request(progress.cursor, progress.run_id, progress.mark)
        head = b"POST %s HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n" % observation_wire.HTTP_TARGET
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        promise = Promise()
        exchange = Exchange(
            self._loop,
            data,
            lambda response, fault: promise.set(_ExchangeResult(response, timed_out=False)),
        )

        def on_timeout() -> None:
            exchange.cancel()
            promise.set(_ExchangeResult(None, timed_out=True))

        exchange.connect(parse_address(peer.where), ANSWER_TIMEOUT, MAX_RESPONSE_HEAD_BYTES, MAX_ANSWER_BYTES)
        timer = self._loop.call_later(ANSWER_TIMEOUT, on_timeout)
        promise.then(lambda _: timer.cancel())
        return promise


def _retry_delay(progress: FetchProgress, result: _ExchangeResult) -> int | None:
    """How long to wait before the same request is sent again; None if it is not sent again."""
    response = result.response
    if response is not None and response.status == HTTP_SERVICE_UNAVAILABLE:
        wait_ms = response.headers.get(RETRY_AFTER_HEADER, b"")
        return min(MAX_RETRY_DELAY, int(wait_ms) * MILLI) if wait_ms.isdigit() else DEFAULT_RETRY_DELAY
    never_responded = response is None and not result.timed_out and not progress.received_observations
    if never_responded and progress.retries < MAX_RETRIES:
        progress.retries += 1  # the peer may still be starting
        return RETRY_INTERVAL
    return None


def _decode_response(response: Response | None) -> ObservationAnswer | None:
    if response is None or response.status != 200:
        return None
    return observation_wire.decode_answer(response.body)


def _final_state(progress: FetchProgress) -> str:
    if progress.mark:
        return f"told {progress.received_observations} facts"
    return f"out of time after {progress.received_observations} facts"
