"""The giving side: answers `POST /lore` with a chunk of what this gateway saw itself, within a budget of CPU
and bytes.

A snapshot is read on from where the last answer stopped, function by function, so that no answer takes longer
than its slice however much is known. What changed since is asked for by the mark of the snapshot's answer.
"""

import secrets
import time

from google.protobuf.message import DecodeError

from gaproute.decisions.reports.cpu_budget import MILLI, SLICE, CpuBudget
from gaproute.decisions.reports.exchange_limits import CHUNK, CHUNK_BYTES
from gaproute.decisions.reports.host_history import own_observations
from gaproute.http1 import Limits, Server
from gaproute.peers import observation_wire
from gaproute.peers.lore_pb2 import Told

CALLS = b"/v2/"  # what the targets of calls begin with
READINGS = 16  # readings held for learners; whoever comes back for an older one begins anew
HELD = 4 << 20  # bytes of told chunks held for them
SHARED = 250 * MILLI  # after it began, a snapshot is still told to others that begin: after a roll many do
LIMITS = Limits(body=4096, pipelined=1, connections=1024)  # of those that ask: a roll starts hundreds
PLACE = 1 << 20  # a cursor is the reading's number times this, plus the chunk's


class Reading:
    """What one snapshot or one ask for changes tells, read as far as it was asked for."""

    def __init__(self, begun, whole, facts):
        self.begun, self.whole, self.facts = begun, whole, facts
        self.chunks, self.size, self.ended = [], 0, False  # chunks: (when built, bytes)


class PeerServer:
    """`gateway` tells what it knows, `roll` what its host list told; `tracks`: their names."""

    def __init__(self, loop, where, gateway, roll, tracks, limits=LIMITS, meter=time.thread_time_ns):
        self.meter = meter  # CPU spent so far, ns
        self.also = {}  # target: handle(server, request), of what else is served here
        self.calls = None  # handle(request) of calls that other gateways forward
        self.loop, self.gateway, self.roll, self.tracks = loop, gateway, roll, tracks
        self.purse = CpuBudget(loop.now())
        self.life = secrets.randbits(63) | 1  # the clock's marks are this process's alone
        self.readings, self.count = {}, 0  # number: Reading
        self.told = self.put_off = self.spent = 0
        self.server = Server(loop, where, self.handle, limits)
        self.address = self.server.address

    def handle(self, request):
        now = self.loop.now()
        if request.target in self.also:
            self.also[request.target](self.server, request)
            return
        if self.calls is not None and request.target.startswith(CALLS):
            self.calls(request)
            return
        if request.target != b"/lore" or request.method != b"POST":
            self.server.answer(request, 404, (), b"POST /lore\n")
            return
        if not self.purse.may(now):
            self.put_off += 1
            wait = b"%d" % -(-self.purse.wait(now) // MILLI)
            self.server.answer(request, 503, ((b"Gaproute-Retry-After-Ms", wait),), b"")
            return
        begun = self.meter()
        try:
            ask = observation_wire.read_ask(request.body)
        except DecodeError:
            self.server.answer(request, 400, (), b"not an Ask\n")
            return
        self.server.answer(
            request, 200, ((b"Content-Type", b"application/x-protobuf"),), self.answer(now, ask, begun)
        )
        spent = self.meter() - begun
        self.spent += spent
        self.purse.spend(now, spent)

    def answer(self, now, ask, begun):
        """Bytes of a Told: a chunk as it was built, with what the asker must know beside it."""
        number, place = divmod(ask.cursor, PLACE)
        reading = self.readings.get(number)
        if reading is None or place > len(reading.chunks) or place == len(reading.chunks) and reading.ended:
            number, place = self.reading(now, ask.mark if ask.life == self.life else -1), 0
            reading = self.readings[number]
        if place == len(reading.chunks):
            self.build(now, reading, begun)
        built, data = reading.chunks[place]
        more = not reading.ended or place + 1 < len(reading.chunks)
        # Serialized messages that follow one another are one message: the chunk need not be built again.
        return (
            data
            + Told(
                next=number * PLACE + place + 1 if more else 0, held_us=(now - built) // 1000
            ).SerializeToString()
        )

    def reading(self, now, since):
        """The number of a reading of what came since then; of one begun just now where all is asked for."""
        for number, reading in self.readings.items():
            if since < 0 and reading.whole and now - reading.begun <= SHARED:
                return number
        self.count += 1
        self.readings[self.count] = Reading(
            now, since < 0, own_observations(self.gateway, self.roll, self.tracks, now, since)
        )
        while len(self.readings) > READINGS or sum(each.size for each in self.readings.values()) > HELD:
            if len(self.readings) == 1:
                break
            del self.readings[next(iter(self.readings))]
        return self.count

    def build(self, now, reading, begun):
        told, size = Told(version=observation_wire.VERSION, life=self.life, mark=reading.begun), 0
        for count, (subject, value, at) in enumerate(reading.facts, 1):
            size += observation_wire.add(told, subject, value, now - at)
            self.told += 1
            if count >= CHUNK or size > CHUNK_BYTES or self.meter() - begun > SLICE:
                break
        else:
            reading.ended = True
        data = told.SerializeToString()
        reading.chunks.append((now, data))
        reading.size += len(data)

    def stop(self):
        """Goes on telling while the last tasks end; `close` ends it."""

    def close(self):
        self.server.close()
