"""Plays a script: every gateway, host, the store and the clients are processes of their own on loopback.

The parent starts and ends them by their own ids, writes the host list that the gateways watch, carries out
the troubles, and notes in `run.tap` what it did and told, when. Judging comes after, from the taps alone.
"""
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from gaproute.judge import Facts, judge
from gaproute.loop import Loop, Promise
from gaproute.loop.loop import GONE, READ
from gaproute.standins.tap import Tap, read
from gaproute.trial.script import AT_CLIENTS, AT_HOSTS

MILLI, SECOND = 1_000_000, 1_000_000_000
# not 127.0.0.1, from which all connect: a port of a killed process stays free for it
ANYWHERE = "127.0.0.2:0"
READY_TIME = 20 * SECOND     # for a process to come up, on a crowded machine
SETTLE = 700 * MILLI         # between all being up and the first task


class Process:
    """One child: its command lines go to its standard input."""

    def __init__(self, command, first, errors, tells=True):
        self.errors = open(errors, "ab")
        self.child = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE if tells else None, stderr=self.errors
        )
        if first is not None:
            self.say(first)

    def say(self, told):
        try:
            self.child.stdin.write(json.dumps(told).encode() + b"\n")
            self.child.stdin.flush()
        except BrokenPipeError:
            pass

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.child.stdin.close()
        if self.child.stdout is not None:
            self.child.stdout.close()
        self.errors.close()


class HostSeat:
    """A host of the list: its process now, and what the list says of it."""

    def __init__(self, name, number, kind, zone, rack):
        self.name, self.number, self.kind, self.zone, self.rack = name, number, kind, zone, rack
        self.where, self.state, self.started = ANYWHERE, "active", None
        self.process, self.runs, self.busy = None, 0, False

    def line(self):
        started = f" started {self.started / 1e9:.6f}" if self.started else ""
        return (f"host {self.name} {self.where} zone {self.zone} rack {self.rack} capacity "
                f"{self.kind.cores * self.kind.speed:g} state {self.state}{started}")


class Trial:
    def __init__(self, script, out, seed=1, decisions="gaproute.decisions.route:Gateway", talk=None):
        self.script, self.out, self.seed, self.decisions = script, Path(out), seed, decisions
        self.talk = talk or (lambda text: None)
        self.out.mkdir(parents=True, exist_ok=True)
        self.loop = Loop()
        self.tap = Tap(self.out / "run.tap", self.loop.clock)
        self.random = random.Random(seed)
        self.processes, self.seats, self.gateways, self.addresses = [], {}, {}, {}
        self.list_late, self.list_told, self.counts = 0, {}, 0
        self.codes = {}          # gateway: exit code of its stop
        # Models go to the tracks in turn, each with its track's work.
        day = script.day
        self.models = []
        for number in range(day.models):
            traffic = script.traffic[number % len(script.traffic)]
            self.models.append({"name": f"m{number:02}", "track": traffic.track, "lanes": traffic.lanes,
                                "work": traffic.work, "start": traffic.start})

    # Processes

    def started(self, process):
        """The address that a stand-in tells on its standard output."""
        promise, fd = Promise(), process.child.stdout.fileno()

        def ready(events):
            line = process.child.stdout.readline() if events & (READ | GONE) else b""
            self.loop.unwatch(fd)
            if line:
                promise.set(json.loads(line)["address"])
            else:
                promise.fail(RuntimeError("a stand-in did not start; see its .err file"))

        self.loop.watch(fd, READ, ready)
        return promise

    def standin(self, kind, name, told):
        process = Process([sys.executable, "-m", "gaproute.standins", kind], told, self.out / f"{name}.err")
        self.processes.append(process)
        return process

    def start_host(self, seat, warm):
        """A coroutine: the host's process, at the address it had before, if any."""
        life, kind = self.script.life, seat.kind
        make = {"name": seat.name, "cores": kind.cores, "speed": kind.speed, "copies": kind.copies,
                "keep": life.keep, "cold_share": life.cold_share, "cold_time": life.cold_time,
                "fall_multiple": life.fall, "tip": life.tip, "idle_close": life.idle_close}
        seat.runs += 1
        seat.process = self.standin("host", f"{seat.name}.{seat.runs}", {
            "listen": seat.where, "make": make, "models": self.models, "store": self.store_at, "warm": warm,
            "seed": self.seed * 1000 + seat.number * 10 + seat.runs,
            "tap": str(self.out / f"host-{seat.name}.{seat.runs}.tap")})
        seat.where = yield self.started(seat.process)
        seat.started = None if warm else time.time_ns()

    def new_seat(self):
        number = self.counts
        self.counts += 1
        day, kinds = self.script.day, self.script.kinds
        kind = self.random.choices(kinds, [kind.share for kind in kinds])[0]
        seat = HostSeat(
            f"mh{number:02}", number, kind, f"hall-{number % day.halls}", f"rack-{number % day.racks}"
        )
        self.seats[seat.name] = seat
        return seat

    def start_gateway(self, number):
        name = f"g{number}"
        first = number not in self.addresses
        where = self.addresses.get(number, ANYWHERE)
        file, log = self.out / f"{name}.conf", self.out / f"{name}.log"
        peers = [f"listen peers unix:{self.out}/{name}.peers"] * self.script.day.peers
        peers += [f"peer g{other} unix:{self.out}/g{other}.peers" for other in range(self.script.day.gateways)
                  if other != number and self.script.day.peers]
        peers += [f"memory {self.out}/{name}.memory"] * self.script.day.memory
        models = "\n".join(f"model {model['name']} track {model['track']} lanes {model['lanes']}"
                           for model in self.models)
        file.write_text("\n".join([f"name {name}", f"listen kserve {where}", f"decisions {self.decisions}",
                                   f"hosts-file {self.out / 'hosts.list'} look 50ms",
                                   *self.script.gateway_lines, *peers, models, ""]))
        before = log.stat().st_size if log.exists() else 0
        process = Process([sys.executable, "-m", "gaproute", "serve", str(file), "--seed",
                           str(self.seed * 100 + number)], None, log, tells=False)
        self.processes.append(process)
        self.gateways[number] = process
        end = self.loop.now() + READY_TIME
        while True:
            for line in log.read_bytes()[before:].split(b"\n")[:-1]:
                told = json.loads(line) if line.startswith(b"{") else {}
                if told.get("event") == "started":
                    self.addresses[number] = told["listens"][0]
                    self.tap.note("started", gateway=number, name=name)
                    self.tap.flush()
                    return
            if process.child.poll() is not None or self.loop.now() > end:
                raise RuntimeError(f"{name} did not start{' at first' if first else ''}; see {log}")
            yield self.loop.sleep(20 * MILLI)

    # The host list

    def publish(self):
        """Writes the list, whole and at once, and notes what it tells anew."""
        path = self.out / "hosts.list"
        lines = [seat.line() for seat in self.seats.values() if seat.state != "absent"]
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(lines) + "\n")
        os.replace(fresh, path)
        for seat in self.seats.values():
            state = "gone" if seat.state == "absent" else seat.state
            if self.list_told.get(seat.name) != state:
                self.list_told[seat.name] = state
                self.tap.note("told", host=seat.name, state=state)
        self.tap.flush()

    def list_soon(self, seat, state, delay):
        """The list tells of the seat after the delay, later still while the list is late."""
        yield self.loop.sleep(delay + self.list_late)
        seat.state = state
        self.publish()

    # Troubles

    def pick(self, count):
        free = [seat for seat in self.seats.values() if seat.state == "active" and not seat.busy]
        return self.random.sample(free, min(count, len(free)))

    def trouble(self, line):
        yield self.loop.sleep(line.at)
        self.tap.note("trouble", name=line.name, lasts=line.lasts)
        self.talk(f"{line.at / SECOND:5.1f} s  {line.name}")
        told = {"trouble": line.name, "share": line.share, "factor": line.factor}
        if line.track:
            told["track"] = line.track
        if line.name in AT_HOSTS:
            seats = self.pick(line.hosts)
            for seat in seats:
                seat.process.say(told)
            yield self.loop.sleep(line.lasts)
            for seat in seats:
                seat.process.say(told | {"on": False})
        elif line.name in AT_CLIENTS:
            self.clients.say(told)
            yield self.loop.sleep(line.lasts)
            self.clients.say(told | {"on": False})
        elif line.name == "list-late":
            self.list_late = line.back
            yield self.loop.sleep(line.lasts)
            self.list_late = 0
        elif line.name in ("gateway-kill", "gateway-stall"):
            yield self.loop.spawn(self.strike_gateway(line)).done
        elif line.name == "deploy":
            seats = self.pick(line.hosts)
            for place in range(0, len(seats), line.batch):
                moves = [self.loop.spawn(self.replace(seat, line.lasts, line.back))
                         for seat in seats[place:place + line.batch]]
                for move in moves:
                    yield move.done
        elif line.name == "preempt":
            for seat in self.pick(line.hosts):
                self.loop.spawn(self.replace(seat, line.lasts, line.back))
        else:
            for seat in self.pick(line.hosts):
                self.loop.spawn(self.strike_host(seat, line))

    def strike_gateway(self, line):
        number = line.gateway % self.script.day.gateways
        process = self.gateways[number]
        if line.name == "gateway-stall":
            process.signal(signal.SIGSTOP)
            self.tap.note("stopped", gateway=number)
            yield self.loop.sleep(line.lasts)
            process.signal(signal.SIGCONT)
            self.tap.note("continued", gateway=number)
            return
        process.signal(signal.SIGKILL)
        self.tap.note("killed", gateway=number)
        yield self.loop.sleep(line.back)
        yield from self.start_gateway(number)

    def strike_host(self, seat, line):
        """`crash`: dies with resets; `vanish`: silent for a while, then dies. Back cold, at the same
        address."""
        seat.busy = True
        delay = self.script.day.list_delay
        if line.name == "vanish":
            seat.process.signal(signal.SIGSTOP)
            self.loop.spawn(self.list_soon(seat, "gone", 2 * delay))
            yield self.loop.sleep(line.lasts)
        else:
            self.loop.spawn(self.list_soon(seat, "gone", delay))
        seat.process.signal(signal.SIGKILL)
        yield self.loop.sleep(line.back + delay + self.list_late)
        yield from self.start_host(seat, False)
        yield from self.list_soon(seat, "active", delay // 2)
        seat.busy = False

    def replace(self, seat, notice, back):
        """Listed as draining, dead after the notice; another host, new and cold, in its place."""
        seat.busy = True
        seat.state = "draining"
        self.publish()
        yield self.loop.sleep(notice)
        seat.process.signal(signal.SIGKILL)
        yield from self.list_soon(seat, "absent", 200 * MILLI)
        yield self.loop.sleep(back)
        fresh = self.new_seat()
        fresh.state = "absent"
        yield from self.start_host(fresh, False)
        yield from self.list_soon(fresh, "active", 200 * MILLI)

    # The day

    def play(self):
        script, day = self.script, self.script.day
        store = self.standin("store", "store", {
            "listen": ANYWHERE, "pace": script.store.pace, "limit": script.store.limit,
            "thrash": script.store.thrash, "tap": str(self.out / "store.tap")})
        self.store_at = yield self.started(store)
        waits = [self.loop.spawn(self.start_host(self.new_seat(), True)) for _ in range(day.hosts)]
        for wait in waits:
            yield wait.done
        self.publish()
        waits = [self.loop.spawn(self.start_gateway(number)) for number in range(day.gateways)]
        for wait in waits:
            yield wait.done
        yield self.loop.sleep(SETTLE)
        limits = {line.name: line.limit for line in script.tracks}
        pure = {line.name: line.effect == "pure" for line in script.tracks}
        kinds = [
            {
                "name": line.track,
                "share": line.share,
                "limit": limits[line.track],
                "pure": pure[line.track],
                "models": [model["name"] for model in self.models if model["track"] == line.track],
            }
            for line in script.traffic
        ]
        self.clients = self.standin("clients", "clients", {
            "gateways": [self.addresses[number] for number in sorted(self.addresses)], "kinds": kinds,
            "habits": {"rate": day.rate, "patience": [0.6, 1.0], "retries": day.retries,
                       "impatient": day.impatient, "zipf": day.zipf},
            "seed": self.seed, "length": day.length, "tap": str(self.out / "clients.tap")})
        self.tap.note("begun")
        troubles = [self.loop.spawn(self.trouble(line)) for line in script.troubles]
        longest = self.loop.now() + day.length + 3 * max(line.limit for line in script.tracks) + 10 * SECOND
        while self.clients.child.poll() is None and self.loop.now() < longest:
            yield self.loop.sleep(50 * MILLI)
        for routine in troubles:
            routine.cancel()
        for number, process in self.gateways.items():
            process.signal(signal.SIGTERM)
        end = self.loop.now() + max(line.limit for line in script.tracks) + 3 * SECOND
        while (
            any(process.child.poll() is None for process in self.gateways.values()) and self.loop.now() < end
        ):
            yield self.loop.sleep(20 * MILLI)
        self.codes = {number: process.child.poll() for number, process in self.gateways.items()}
        for seat in self.seats.values():     # their last lines are written when their input ends
            if seat.process is not None and seat.process.child.poll() is None:
                seat.process.signal(signal.SIGCONT)
                seat.process.child.stdin.close()
        store.child.stdin.close()
        end = self.loop.now() + 3 * SECOND
        while any(process.child.poll() is None for process in self.processes) and self.loop.now() < end:
            yield self.loop.sleep(20 * MILLI)

    def run(self):
        """Plays the day and returns its `Result`."""
        try:
            self.loop.run(until=self.loop.spawn(self.play()).done)
        finally:
            for process in self.processes:
                process.end()
            self.tap.flush()
        return Result(self)


class Result:
    """What the taps of a played day say."""

    def __init__(self, trial):
        script, out = trial.script, trial.out
        self.tracks = [line.name for line in script.tracks]
        hosts = {
            name: [read(path) for path in sorted(out.glob(f"host-{name}.*.tap"))] for name in trial.seats
        }
        self.clients, self.run = read(out / "clients.tap"), read(out / "run.tap")
        store = read(out / "store.tap")
        copies = script.copies
        facts = Facts({line.name: line.effect for line in script.tracks},
                      {line.name: line.group for line in script.tracks},
                      {line.name: line.remembers for line in script.tracks},
                      {seat.name: (seat.zone, seat.rack) for seat in trial.seats.values()},
                      500 * MILLI, copies.free, copies.share, copies.window if copies.orders else 0)
        self.broken = judge(facts, hosts, self.clients, self.run)
        self.codes = trial.codes
        self.fetches = sum(event["what"] == "fetch" for event in store)
        self.turned_away = sum(event["what"] == "turned away" for event in store)
        arrivals = [event for runs in hosts.values() for events in runs for event in events]
        self.relays = sum(event["what"] == "task" for event in arrivals)
        self.orders = sum(event["what"] == "order" and event["count"] > 0 for event in arrivals)
        self.fell = sum(event["what"] == "fell over" for event in arrivals)
        self.ends = [
            event for event in self.clients if event["what"] in ("answer", "overdue", "left", "broken")
        ]
        self.begun = next((event["at"] for event in self.run if event["what"] == "begun"), 0)
        self.length = script.day.length
        worth = {line.name: line.earnings for line in script.tracks}
        contract = {line.name: line.contract for line in script.tracks}
        # A client's retries count with its first try: served if any answer came within the contract time of
        # it.
        firsts = {}
        for event in sorted(self.ends, key=lambda event: event["asked"]):
            first = firsts.setdefault(
                event["first"], [event["asked"], event["track"], False, event["what"] == "left"]
            )
            if event["what"] == "answer" and event["outcome"] == "delivered" and event["status"] == 200 \
                    and event["at"] - first[0] <= contract[event["track"]]:
                first[2] = True
        self.firsts = [(asked, track, good) for asked, track, good, left in firsts.values() if not left]
        self.service = self._service(worth, lambda asked, track: True)
        self.by_track = {track: self._service(worth, lambda asked, of: of == track) for track in self.tracks}
        self.windows = [
            self._service(worth, lambda asked, track, at=at: at <= (asked - self.begun) // SECOND < at + 5)
            for at in range(0, self.length // SECOND, 5)
        ]

    def _service(self, worth, within):
        asked = [(worth[track], good) for at, track, good in self.firsts if within(at, track)]
        total = sum(each for each, _ in asked)
        return sum(each for each, good in asked if good) / total if total else None

    def outcomes(self, track):
        ends = [event for event in self.ends if event["track"] == track]
        return {name: sum((event["outcome"] if event["what"] == "answer" else event["what"]) == name
                          for event in ends)
                for name in ("delivered", "declined", "scrapped", "left", "broken", "overdue")}

    @property
    def well(self):
        return not self.broken and bool(self.ends) and all(code == 0 for code in self.codes.values())

    def plain(self):
        """The result as plain data."""
        return {"service": self.service, "by_track": self.by_track, "windows": self.windows,
                "outcomes": {track: self.outcomes(track) for track in self.tracks}, "relays": self.relays,
                "orders": self.orders, "fetches": self.fetches, "turned_away": self.turned_away,
                "fell_over": self.fell, "exit_codes": self.codes,
                "broken": [broken._asdict() for broken in self.broken]}
