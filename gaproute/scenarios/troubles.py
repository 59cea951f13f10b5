"""Carries out the troubles of a script: at hosts, at clients, at processes, at the list."""

import signal

from gaproute.scenarios.processes import MILLI, SECOND
from gaproute.scenarios.script import AT_CLIENTS, AT_HOSTS


class Troubles:
    def __init__(self, trial):
        self.trial, self.loop = trial, trial.loop
        self.seats, self.list, self.gateways = trial.seats, trial.list, trial.gateways
        self.delay = trial.script.day.list_delay

    def trouble(self, line):
        """A coroutine: one `trouble` line from its time to its end."""
        yield self.loop.sleep(line.at)
        self.trial.tap.note("trouble", name=line.name, lasts=line.lasts)
        self.trial.talk(f"{line.at / SECOND:5.1f} s  {line.name}")
        told = {"trouble": line.name, "share": line.share, "factor": line.factor}
        if line.track:
            told["track"] = line.track
        if line.name in AT_HOSTS:
            seats = self.seats.pick(line)
            for seat in seats:
                seat.process.say(told)
            yield self.loop.sleep(line.lasts)
            for seat in seats:
                seat.process.say(told | {"on": False})
        elif line.name in AT_CLIENTS:
            self.trial.crowd.say(told)
            yield self.loop.sleep(line.lasts)
            self.trial.crowd.say(told | {"on": False})
        elif line.name == "list-late":
            self.list.late = line.back
            yield self.loop.sleep(line.lasts)
            self.list.late = 0
        elif line.name in ("gateway-kill", "gateway-stall"):
            number = line.gateway % self.trial.script.day.gateways
            struck = (
                self.gateways.stall(number, line.lasts)
                if line.name == "gateway-stall"
                else self.gateways.kill(number, line.back)
            )
            yield self.loop.spawn(struck).done
        elif line.name == "deploy":
            seats = self.seats.pick(line)
            for place in range(0, len(seats), line.batch):
                moves = [
                    self.loop.spawn(self.replace(seat, line.lasts, line.back))
                    for seat in seats[place : place + line.batch]
                ]
                for move in moves:
                    yield move.done
        elif line.name == "preempt":
            for seat in self.seats.pick(line):
                self.loop.spawn(self.replace(seat, line.lasts, line.back))
        else:
            for seat in self.seats.pick(line):
                self.loop.spawn(self.strike_host(seat, line))

    def strike_host(self, seat, line):
        """`crash`: dies with resets; `vanish`: silent for a while, then dies. Back cold, at the same
        address."""
        seat.busy = True
        if line.name == "vanish":
            seat.process.signal(signal.SIGSTOP)
            self.loop.spawn(self.list.soon(seat, "gone", 2 * self.delay))
            yield self.loop.sleep(line.lasts)
        else:
            self.loop.spawn(self.list.soon(seat, "gone", self.delay))
        self.seats.kill(seat)
        yield self.loop.sleep(line.back + self.delay + self.list.late)
        yield from self.seats.start(seat, False)
        yield from self.list.soon(seat, "active", self.delay // 2)
        seat.busy = False

    def replace(self, seat, notice, back):
        """ListedHost as draining, dead after the notice; another host, new and cold, in its place."""
        seat.busy = True
        seat.state = "draining"
        self.list.publish()
        yield self.loop.sleep(notice)
        self.seats.kill(seat)
        yield from self.list.soon(seat, "absent", 200 * MILLI)
        yield self.loop.sleep(back)
        fresh = self.seats.new()
        fresh.state = "absent"
        yield from self.seats.start(fresh, False)
        yield from self.list.soon(fresh, "active", 200 * MILLI)
