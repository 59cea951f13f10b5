"""Carries out the troubles of a script: at hosts, at clients, at processes, at the list."""

import signal

from gaproute.scenarios.processes import MILLI, SECOND
from gaproute.scenarios.script import CLIENT_FAULTS, HOST_FAULTS


class FaultSchedule:
    def __init__(self, trial):
        self.trial, self.loop = trial, trial.loop
        self.hosts, self.host_list, self.gateways = trial.hosts, trial.host_list, trial.gateways
        self.delay = trial.script.day.list_delay

    def run(self, line):
        """A coroutine: one `trouble` line from its time to its end."""
        yield self.loop.sleep(line.at)
        self.trial.tap.note("trouble", name=line.name, lasts=line.lasts)
        self.trial.report(f"{line.at / SECOND:5.1f} s  {line.name}")
        told = {"trouble": line.name, "share": line.share, "factor": line.factor}
        if line.track:
            told["track"] = line.track
        if line.name in HOST_FAULTS:
            seats = self.hosts.choose(line)
            for seat in seats:
                seat.process.send(told)
            yield self.loop.sleep(line.lasts)
            for seat in seats:
                seat.process.send(told | {"on": False})
        elif line.name in CLIENT_FAULTS:
            self.trial.clients.send(told)
            yield self.loop.sleep(line.lasts)
            self.trial.clients.send(told | {"on": False})
        elif line.name == "list-late":
            self.host_list.delay = line.back
            yield self.loop.sleep(line.lasts)
            self.host_list.delay = 0
        elif line.name in ("gateway-kill", "gateway-stall"):
            number = line.gateway % self.trial.script.day.gateways
            struck = (
                self.gateways.pause(number, line.lasts)
                if line.name == "gateway-stall"
                else self.gateways.kill_and_restart(number, line.back)
            )
            yield self.loop.spawn(struck).done
        elif line.name == "deploy":
            seats = self.hosts.choose(line)
            for place in range(0, len(seats), line.batch):
                moves = [
                    self.loop.spawn(self.replace(seat, line.lasts, line.back))
                    for seat in seats[place : place + line.batch]
                ]
                for move in moves:
                    yield move.done
        elif line.name == "preempt":
            for seat in self.hosts.choose(line):
                self.loop.spawn(self.replace(seat, line.lasts, line.back))
        else:
            for seat in self.hosts.choose(line):
                self.loop.spawn(self.strike_host(seat, line))

    def strike_host(self, seat, line):
        """`crash`: dies with resets; `vanish`: silent for a while, then dies. Back cold, at the same
        address."""
        seat.under_fault = True
        if line.name == "vanish":
            seat.process.signal(signal.SIGSTOP)
            self.loop.spawn(self.host_list.publish_state(seat, "gone", 2 * self.delay))
            yield self.loop.sleep(line.lasts)
        else:
            self.loop.spawn(self.host_list.publish_state(seat, "gone", self.delay))
        self.hosts.kill(seat)
        yield self.loop.sleep(line.back + self.delay + self.host_list.delay)
        yield from self.hosts.start(seat, False)
        yield from self.host_list.publish_state(seat, "active", self.delay // 2)
        seat.under_fault = False

    def replace(self, seat, notice, back):
        """ListedHost as draining, dead after the notice; another host, new and cold, in its place."""
        seat.under_fault = True
        seat.state = "draining"
        self.host_list.publish()
        yield self.loop.sleep(notice)
        self.hosts.kill(seat)
        yield from self.host_list.publish_state(seat, "absent", 200 * MILLI)
        yield self.loop.sleep(back)
        fresh = self.hosts.create()
        fresh.state = "absent"
        yield from self.hosts.start(fresh, False)
        yield from self.host_list.publish_state(fresh, "active", 200 * MILLI)
