"""Transfer of observations to a gateway that starts: bytes and processor time, by the observations sent."""

import io
from collections.abc import Iterator

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds_once
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.decisions.routing.observations import Observation
from gaproute.http1 import render
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.peers import ObservationClient, PeerServer, observation_wire
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import GatewayRecord

FACTS = (256, 1_024, 4_096, 16_384)
HOSTS = 256
PROTOBUF = ((b"Content-Type", b"application/x-protobuf"),)


class StandInDecisions:
    """Stands for the decisions of a gateway that observed so many loaded copies."""

    def __init__(self, facts: int) -> None:
        self.facts = facts

    def observations_since(self, now: int, since: int) -> Iterator[Observation]:
        """Copies, each of one host and one function."""
        for number in range(self.facts):
            names = (f"host-{number % HOSTS:04}", f"model-{number // HOSTS:04}")
            yield Observation("warm", names, (4,), now - 1_000_000)


class Transfer:
    """A sender and a receiver of observations.

    There are no sockets between them, and the sender's budget of time is not applied.
    """

    def __init__(self, facts: int) -> None:
        self.facts, self.loop = facts, Loop()
        self.peer_server = PeerServer(
            self.loop,
            parse_address("127.0.0.1:0"),
            StandInDecisions(facts),
            HostHistory(),
            ["std"],
            cpu_clock=lambda: 0,
        )
        record = GatewayRecord(logger(io.StringIO()), ["std"])
        self.client = ObservationClient(
            self.loop, (), SharedObservations(), lambda subjects: 0, lambda: None, record
        )
        self.answers: list[bytes] = []
        self.requests: list[bytes] = []

    def send(self) -> None:
        """Make all answers of a snapshot."""
        cursor = 0
        while True:
            self.requests.append(observation_wire.encode_request(cursor, 0, 0))
            body = self.peer_server.transfers.answer(
                self.loop.now(), observation_wire.decode_request(self.requests[-1]), 0
            )
            self.answers.append(body)
            answer = observation_wire.decode_answer(body)
            assert answer is not None
            cursor = answer.next
            if not cursor:
                return

    def receive(self) -> None:
        """Decode and merge all answers; what the decisions do with them is not included."""
        for body in self.answers:
            answer = observation_wire.decode_answer(body)
            assert answer is not None
            self.client.merge_answer("peer", self.loop.now(), answer)
        assert len(self.client.observations.by_subject) == self.facts

    def close(self) -> None:
        """Close both sides."""
        self.client.close()
        self.peer_server.close()
        self.loop.close()


def transfer_bytes(facts: int, seed: int) -> float:
    """Bytes both ways."""
    transfer = Transfer(facts)
    transfer.send()
    transfer.close()
    head = b"POST /lore HTTP/1.1\r\nHost: peer\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    requests = sum(len(head % len(request)) + len(request) for request in transfer.requests)
    return requests + sum(len(render(200, PROTOBUF, body, close=True)) for body in transfer.answers)


def sender_cpu(facts: int, seed: int) -> float:
    """Milliseconds of CPU to send all."""
    transfer = Transfer(facts)
    spent = cpu_seconds_once(transfer.send)
    transfer.close()
    return spent * MS_PER_SECOND


def receiver_cpu(facts: int, seed: int) -> float:
    """Milliseconds of CPU to receive all."""
    transfer = Transfer(facts)
    transfer.send()
    spent = cpu_seconds_once(transfer.receive)
    transfer.close()
    return spent * MS_PER_SECOND


CHUNKS = "chunks of 256 facts; the giver's slices of 1 ms and its share of 1% of a core are not applied"

MEASUREMENTS: Measurements = {
    **deferred(
        "learning-bytes-by-facts",
        "bytes of what one peer tells and is asked",
        "bytes",
        "facts",
        FACTS,
        transfer_bytes,
        f"HTTP heads in, TCP's not; {CHUNKS}",
    ),
    **deferred(
        "learning-giver-cpu-by-facts",
        "CPU of telling",
        "ms",
        "facts",
        FACTS,
        sender_cpu,
        f"HTTP not in; {CHUNKS}. {CPU_TIME}",
    ),
    **deferred(
        "learning-learner-cpu-by-facts",
        "CPU of reading and merging, the decisions' booking not in",
        "ms",
        "facts",
        FACTS,
        receiver_cpu,
        f"HTTP not in. {CPU_TIME}",
    ),
}
