"""The giving side: answers `POST /lore` with a chunk of what this gateway saw itself, within a budget of CPU
and bytes.

A snapshot is read on from where the last answer stopped, function by function, so that no answer takes longer
than its slice however much is known. What changed since is asked for by the mark of the snapshot's answer.
"""
import secrets
import time

from google.protobuf.message import DecodeError

from gaproute.http1 import Limits, Server
from gaproute.lore import CHUNK, CHUNK_BYTES, SLICE, Purse, own
from gaproute.peers import wire
from gaproute.peers.lore_pb2 import Told

READINGS = 16            # learners served at a time; an older one that comes back begins anew
MILLI = 1_000_000


class Giver:
    """`gateway` tells what it knows, `roll` what its host list told; `tracks`: their names."""

    def __init__(self, loop, where, gateway, roll, tracks, meter=time.thread_time_ns):
        self.meter = meter           # CPU spent so far, ns
        self.loop, self.gateway, self.roll, self.tracks = loop, gateway, roll, tracks
        self.purse = Purse(loop.now())
        self.life = secrets.randbits(63) | 1       # the clock's marks are this process's alone
        self.readings, self.count = {}, 0          # cursor: (mark, facts still to be told)
        self.told = self.put_off = self.spent = 0
        self.server = Server(loop, where, self.handle, Limits(body=4096, pipelined=1, connections=64))
        self.address = self.server.address

    def handle(self, request):
        now = self.loop.now()
        if request.target != b"/lore" or request.method != b"POST":
            self.server.answer(request, 404, (), b"POST /lore\n")
            return
        if not self.purse.may(now):
            self.put_off += 1
            wait = b"%d" % -(-self.purse.wait() // MILLI)
            self.server.answer(request, 503, ((b"Gaproute-Retry-After-Ms", wait),), b"")
            return
        begun = self.meter()
        try:
            ask = wire.read_ask(request.body)
        except DecodeError:
            self.server.answer(request, 400, (), b"not an Ask\n")
            return
        self.server.answer(request, 200, ((b"Content-Type", b"application/x-protobuf"),),
                           self.chunk(now, ask, begun).SerializeToString())
        spent = self.meter() - begun
        self.spent += spent
        self.purse.spend(spent)

    def chunk(self, now, ask, begun):
        told = Told(version=wire.VERSION, life=self.life)
        if ask.cursor:
            number = ask.cursor
            told.mark, facts = self.readings.pop(number, (now, iter(())))
        else:
            self.count += 1
            number, told.mark = self.count, now
            since = ask.mark if ask.life == self.life else -1
            facts = own(self.gateway, self.roll, self.tracks, now, since)
        most, size = min(CHUNK, ask.most or CHUNK), 0
        for count, (subject, value, at) in enumerate(facts, 1):
            size += wire.add(told, subject, value, now - at)
            self.told += 1
            if count >= most or size > CHUNK_BYTES or self.meter() - begun > SLICE:
                self.readings[number] = told.mark, facts
                told.next = number
                while len(self.readings) > READINGS:
                    del self.readings[next(iter(self.readings))]
                break
        return told

    def stop(self):
        """Goes on telling while the last tasks end; `close` ends it."""

    def close(self):
        self.server.close()
