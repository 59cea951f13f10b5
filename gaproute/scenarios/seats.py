"""The hosts of a day: what each is made of, where it listens, and what the list says of it."""

import signal
import time

from gaproute.scenarios.processes import ANYWHERE


class HostSeat:
    """A host of the list: its process now, and what the list says of it."""

    def __init__(self, name, number, kind, zone, rack):
        self.name, self.number, self.kind, self.zone, self.rack = name, number, kind, zone, rack
        self.where, self.state, self.started = ANYWHERE, "active", None
        self.process, self.runs, self.busy = None, 0, False

    def properties(self, life):
        """What a stand-in host is made of; `life`: the script's line on all hosts."""
        return {
            "name": self.name,
            "cores": self.kind.cores,
            "speed": self.kind.speed,
            "copies": self.kind.copies,
            "keep": life.keep,
            "cold_share": life.cold_share,
            "cold_time": life.cold_time,
            "fall_multiple": life.fall,
            "tip": life.tip,
            "idle_close": life.idle_close,
        }

    def line(self, where=None):
        started = f" started {self.started / 1e9:.6f}" if self.started else ""
        return (
            f"host {self.name} {where or self.where} zone {self.zone} rack {self.rack} capacity "
            f"{self.kind.cores * self.kind.speed:g} state {self.state}{started}"
        )


def models_of(script):
    """Models go to the tracks in turn, each with its track's work."""
    models = []
    for number in range(script.day.models):
        traffic = script.traffic[number % len(script.traffic)]
        models.append(
            {
                "name": f"m{number:02}",
                "track": traffic.track,
                "lanes": traffic.lanes,
                "work": traffic.work,
                "start": traffic.start,
            }
        )
    return models


class Seats:
    """All hosts that a day has had. `random`: what draws their kinds, and who is struck."""

    def __init__(self, script, seed, processes, models, random):
        self.script, self.seed, self.processes, self.models = script, seed, processes, models
        self.random, self.seats, self.counts = random, {}, 0
        self.store_at = None

    def new(self):
        number = self.counts
        self.counts += 1
        day, kinds = self.script.day, self.script.kinds
        kind = self.random.choices(kinds, [kind.share for kind in kinds])[0]
        seat = HostSeat(
            f"mh{number:02}", number, kind, f"hall-{number % day.halls}", f"rack-{number % day.racks}"
        )
        self.seats[seat.name] = seat
        return seat

    def start(self, seat, warm):
        """A coroutine: the host's process, at the address it had before, if any."""
        seat.runs += 1
        seat.process = self.processes.standin(
            "host",
            f"{seat.name}.{seat.runs}",
            {
                "listen": seat.where,
                "make": seat.properties(self.script.life),
                "models": self.models,
                "store": self.store_at,
                "warm": warm,
                "seed": self.seed * 1000 + seat.number * 10 + seat.runs,
                "tap": str(self.processes.out / f"host-{seat.name}.{seat.runs}.tap"),
            },
        )
        seat.where = (yield self.processes.line(seat.process))["address"]
        seat.started = None if warm else time.time_ns()

    def kill(self, seat):
        seat.process.signal(signal.SIGKILL)

    def pick(self, line):
        free = [
            seat
            for seat in self.seats.values()
            if seat.state == "active" and not seat.busy and line.zone in (None, seat.zone)
        ]
        return self.random.sample(free, min(line.hosts, len(free)))

    def close(self):
        """Their last lines are written when their input ends."""
        for seat in self.seats.values():
            if seat.process is not None and seat.process.child.poll() is None:
                seat.process.signal(signal.SIGCONT)
                seat.process.hush()
