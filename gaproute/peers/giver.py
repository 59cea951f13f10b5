"""The giving side: answers `POST /lore` with a chunk of what this gateway saw itself, within a budget of
CPU."""
import time

from google.protobuf.message import DecodeError

from gaproute.http1 import Limits, Server
from gaproute.interface import State
from gaproute.lore import Purse
from gaproute.peers.lore_pb2 import Ask, Told

VERSION = 1
CHUNK = 256              # facts in one answer at most: about 20 kB, well under a millisecond of CPU
SNAPSHOTS = 16           # learners served at a time; an older one that comes back begins anew
GONE_KEPT = 256          # hosts remembered as gone
MILLI = 1_000_000


class Giver:
    """`gateway` tells what it knows; `lives()` is {active host: start of its life by the list}."""

    def __init__(self, loop, where, gateway, lives):
        self.loop, self.gateway, self.lives = loop, gateway, lives
        self.purse = Purse(loop.now())
        self.gone = {}               # worker: when this gateway was told
        self.snapshots, self.count = {}, 0     # cursor: facts still to be told
        self.told = self.put_off = self.spent = 0
        self.server = Server(loop, where, self.handle, Limits(body=4096, pipelined=1, connections=64))
        self.address = self.server.address

    def listed(self, rows):
        """The host list changed: who is gone from it is told on, who is back no longer."""
        now = self.loop.now()
        for name, row in rows.items():
            if row.listed.state is State.ACTIVE:
                self.gone.pop(name, None)
            else:
                self.gone.setdefault(name, now)
        while len(self.gone) > GONE_KEPT:
            del self.gone[next(iter(self.gone))]

    def left(self, names):
        for name in names:
            self.gone.setdefault(name, self.loop.now())

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
        begun = time.thread_time_ns()
        try:
            ask = Ask.FromString(request.body)
        except DecodeError:
            self.server.answer(request, 400, (), b"not an Ask\n")
            return
        self.server.answer(request, 200, ((b"Content-Type", b"application/x-protobuf"),),
                           self.chunk(now, ask).SerializeToString())
        spent = time.thread_time_ns() - begun
        self.spent += spent
        self.purse.spend(spent)

    def chunk(self, now, ask):
        told = Told(version=VERSION)
        if ask.cursor == 0:
            # the latest first: most is in them
            facts = sorted(self.gateway.known(), key=lambda fact: -fact[3])
            self.count += 1
            number = self.count
            for worker, at in self.gone.items():
                told.gone.add(worker=worker, age_us=(now - at) // 1000)
        else:
            number = ask.cursor
            facts = self.snapshots.pop(number, [])
        most = min(CHUNK, ask.most or CHUNK)
        for worker, function, lanes, seen in facts[:most]:
            told.warm.add(worker=worker, function=function, lanes=lanes, age_us=(now - seen) // 1000,
                          started_ns=self.lives().get(worker, 0))
        self.told += len(told.warm)
        if len(facts) > most:
            self.snapshots[number] = facts[most:]
            told.next = number
            while len(self.snapshots) > SNAPSHOTS:
                del self.snapshots[next(iter(self.snapshots))]
        return told

    def stop(self):
        """Goes on telling while the last tasks end; `close` ends it."""

    def close(self):
        self.server.close()
