"""Hollow gateways with real sockets, tens in one process, given orders as lines of JSON on standard input."""

import json
import os
import sys
import time
from functools import partial

from gaproute.hollow.exchange import Exchange
from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.parts import EventCounter, Surroundings
from gaproute.loop import Loop
from gaproute.loop.datagrams import Datagrams
from gaproute.loop.descriptors import READ
from gaproute.peers.raft import RaftTransport

MILLI, SECOND = 1_000_000, 1_000_000_000
BEAT = 20 * MILLI  # between looks at the process's own lateness
APART = 10 * MILLI  # between two starts
KNOWN = 65_536  # changes whose last moment is kept
LINE = 1 << 16  # bytes read at once


class Changes(EventCounter):
    """Counts by (gateway, state, incarnation) how many of this process's gateways noted the change, and when
    the first and the last of them did, in seconds since 1970."""

    def __init__(self):
        super().__init__()
        self.noted = {}

    def event(self, level, what, **told):
        """Notes a change of a member's state."""
        super().event(level, what, **told)
        if what == "member_changed" and len(self.noted) < KNOWN:
            change, now = (told["member"], told["state"], told["incarnation"]), time.time()
            count, first, _ = self.noted.get(change, (0, now, now))
            self.noted[change] = count + 1, first, now


class HollowProcess:
    """The gateways `rows[first : first + count]` of all `rows`; `configuration` is shared by them."""

    def __init__(self, configuration, rows, first, count, seed=1):
        self.loop, self.configuration, self.rows, self.seed = Loop(), configuration, rows, seed
        self.loop.on_error = self.failed
        self.changes, self.gateways = Changes(), {}
        self.errors, self.last_error, self.late, self.due = 0, "", 0, self.loop.now() + BEAT
        self.input = b""
        for place, row in enumerate(rows[first : first + count]):
            self.loop.after(place * APART, self.start, row, first + place)
        self.loop.after(BEAT, self.beat)
        self.loop.watch(sys.stdin.fileno(), READ, self.read)

    def failed(self, error):
        """An exception of a call of the loop."""
        self.errors, self.last_error = self.errors + 1, repr(error)

    def beat(self):
        """Notes how late this process is."""
        now = self.loop.now()
        self.late, self.due = max(self.late, now - self.due), now + BEAT
        self.loop.at(self.due, self.beat)

    def start(self, row, number):
        """Starts one gateway."""
        surroundings = Surroundings(
            loop=self.loop,
            name=row.name,
            address=row.where,
            configuration=self.configuration,
            seed=self.seed * 1_000_003 + number * 101,
            open_datagrams=Datagrams,
            open_carrier=RaftTransport,
            open_votes=partial(open, os.devnull),
            wall=time.time_ns,
            record=self.changes,
        )
        self.gateways[row.name] = HollowGateway(surroundings, PARTS | {"exchange": Exchange})
        self.gateways[row.name].start(self.rows)

    # Orders

    def read(self, events):
        """Orders on standard input; its end is the end of the process."""
        data = os.read(sys.stdin.fileno(), LINE)
        if not data:
            self.loop.stop()
            return
        *lines, self.input = (self.input + data).split(b"\n")
        for line in lines:
            self.obey(json.loads(line))

    def obey(self, order):
        """{"kill": name}, {"start": name}, {"changes": name} or {"snapshot": true}; the last two are answered
        by a line each."""
        if "kill" in order:
            self.gateways.pop(order["kill"]).close()
        elif "start" in order:
            number = next(place for place, row in enumerate(self.rows) if row.name == order["start"])
            self.start(self.rows[number], number)
        elif "changes" in order:
            print(json.dumps(self.changes_of(order["changes"])), flush=True)
        else:
            print(json.dumps(self.snapshot()), flush=True)

    def changes_of(self, name):
        """What was noted of one gateway; cheaper than a snapshot, so that asking often makes nobody late."""
        noted = [[*change, *when] for change, when in self.changes.noted.items() if change[0] == name]
        return {"gateways": len(self.gateways), "changes": noted}

    def snapshot(self):
        """Counts since the start, and the longest lateness since the last snapshot."""
        totals, late, self.late = {}, self.late, 0
        for gateway in self.gateways.values():
            for part, counters in gateway.counters().items():
                for counter, value in counters.items():
                    totals[f"{part}.{counter}"] = totals.get(f"{part}.{counter}", 0) + value
        ups = [gateway.parts["membership"].members.live_count() for gateway in self.gateways.values()]
        return {
            "gateways": len(self.gateways),
            "totals": totals,
            "late_ns": late,
            "cpu_ns": time.process_time_ns(),
            "least_up": min(ups, default=0),
            "errors": self.errors,
            "last_error": self.last_error,
        }

    def run(self):
        """Until the input ends."""
        self.loop.run()
        for gateway in self.gateways.values():
            gateway.close()
