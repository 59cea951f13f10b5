"""The hosts of a day: what each is made of, where it listens, and what the list says of it."""

import signal
import time

from gaproute.scenarios.processes import ANYWHERE


class DayHost:
    """A host of the list: its process now, and what the list says of it."""

    def __init__(self, name, number, kind, zone, rack):
        self.name, self.number, self.kind, self.zone, self.rack = name, number, kind, zone, rack
        self.address, self.state, self.started = ANYWHERE, "active", None
        self.process, self.run_count, self.under_fault = None, 0, False

    def profile(self, life):
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

    def list_line(self, address=None):
        started = f" started {self.started / 1e9:.6f}" if self.started else ""
        return (
            f"host {self.name} {address or self.address} zone {self.zone} rack {self.rack} capacity "
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


class DayHosts:
    """All hosts that a day has had. `random`: what draws their kinds, and who is struck."""

    def __init__(self, script, seed, processes, models, random):
        self.script, self.seed, self.processes, self.models = script, seed, processes, models
        self.random, self.by_name, self.counts = random, {}, 0
        self.store_address = None

    def create(self):
        number = self.counts
        self.counts += 1
        day, kinds = self.script.day, self.script.kinds
        kind = self.random.choices(kinds, [kind.share for kind in kinds])[0]
        seat = DayHost(
            f"mh{number:02}", number, kind, f"hall-{number % day.halls}", f"rack-{number % day.racks}"
        )
        self.by_name[seat.name] = seat
        return seat

    def start(self, seat, warm):
        """A coroutine: the host's process, at the address it had before, if any."""
        seat.run_count += 1
        seat.process = self.processes.start_stand_in(
            "host",
            f"{seat.name}.{seat.run_count}",
            {
                "listen": seat.address,
                "make": seat.profile(self.script.life),
                "models": self.models,
                "store": self.store_address,
                "warm": warm,
                "seed": self.seed * 1000 + seat.number * 10 + seat.run_count,
                "tap": str(self.processes.out / f"host-{seat.name}.{seat.run_count}.tap"),
            },
        )
        seat.address = (yield self.processes.first_line(seat.process))["address"]
        seat.started = None if warm else time.time_ns()

    def kill(self, seat):
        seat.process.signal(signal.SIGKILL)

    def choose(self, line):
        free = [
            seat
            for seat in self.by_name.values()
            if seat.state == "active" and not seat.under_fault and line.zone in (None, seat.zone)
        ]
        return self.random.sample(free, min(line.hosts, len(free)))

    def close(self):
        """Their last lines are written when their input ends."""
        for seat in self.by_name.values():
            if seat.process is not None and seat.process.child.poll() is None:
                seat.process.signal(signal.SIGCONT)
                seat.process.close_input()
