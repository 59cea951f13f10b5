"""Learning at a start: bytes and processor time of what one peer tells, by the facts told."""

import io

from benchmarks.scale.deferred import deferred
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds_once
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.http1 import render
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.peers import ObservationClient, PeerServer, observation_wire
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import Record

FACTS = (256, 1_024, 4_096, 16_384)
HOSTS = 256
PROTOBUF = ((b"Content-Type", b"application/x-protobuf"),)


class Known:
    """Stands for the decisions of a gateway that saw so many copies."""

    def __init__(self, facts):
        self.facts = facts

    def observations_since(self, now, since):
        """Copies, each of one host and one function."""
        for number in range(self.facts):
            names = (f"host-{number % HOSTS:04}", f"model-{number // HOSTS:04}")
            yield "warm", names, (4,), now - 1_000_000


class Told:
    """A giver, and a learner that takes its answers, without sockets between them and without the giver's
    budget of time."""

    def __init__(self, facts):
        self.facts, self.loop = facts, Loop()
        self.peer_server = PeerServer(
            self.loop, address("127.0.0.1:0"), Known(facts), HostHistory(), ["std"], cpu_clock=lambda: 0
        )
        record = Record(logger(io.StringIO()), ["std"])
        self.client = ObservationClient(
            self.loop, (), SharedObservations(), lambda subjects: 0, lambda: None, record
        )
        self.answers, self.asks = [], []

    def give(self):
        """Makes all answers of a snapshot."""
        cursor = 0
        while True:
            self.asks.append(observation_wire.encode_request(cursor, 0, 0))
            body = self.peer_server.transfers.answer(
                self.loop.now(), observation_wire.decode_request(self.asks[-1]), 0
            )
            self.answers.append(body)
            cursor = observation_wire.decode_answer(body).next
            if not cursor:
                return

    def learn(self):
        """Reads and merges all answers; the module's booking is not in."""
        for body in self.answers:
            self.client.take("peer", self.loop.now(), observation_wire.decode_answer(body))
        assert len(self.client.observations.by_subject) == self.facts

    def close(self):
        """Ends both sides."""
        self.client.close()
        self.peer_server.close()
        self.loop.close()


def transfer_bytes(facts, seed):
    """Bytes both ways."""
    told = Told(facts)
    told.give()
    told.close()
    head = b"POST /lore HTTP/1.1\r\nHost: peer\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    asks = sum(len(head % len(ask)) + len(ask) for ask in told.asks)
    return asks + sum(len(render(200, PROTOBUF, body, close=True)) for body in told.answers)


def giver_cpu(facts, seed):
    """Milliseconds of CPU to tell all."""
    told = Told(facts)
    spent = cpu_seconds_once(told.give)
    told.close()
    return spent * MS_PER_SECOND


def learner_cpu(facts, seed):
    """Milliseconds of CPU to take all."""
    told = Told(facts)
    told.give()
    spent = cpu_seconds_once(told.learn)
    told.close()
    return spent * MS_PER_SECOND


CHUNKS = "chunks of 256 facts; the giver's slices of 1 ms and its share of 1% of a core are not applied"

MEASUREMENTS = {
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
        giver_cpu,
        f"HTTP not in; {CHUNKS}. {CPU_TIME}",
    ),
    **deferred(
        "learning-learner-cpu-by-facts",
        "CPU of reading and merging, the decisions' booking not in",
        "ms",
        "facts",
        FACTS,
        learner_cpu,
        f"HTTP not in. {CPU_TIME}",
    ),
}
