"""The decisions of a scripted fleet, digested: a change of shape alone must leave every action as it was.

The digests were taken from revision 52a50eb. Actions are written by letters and values, so that they do not
hang on names. A change of behaviour that is meant changes the digests; its commit says why.
"""

from hashlib import sha256
from heapq import heappop, heappush
from random import Random

import pytest

import gaproute.interface as face
from gaproute.decisions.routing import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000
REQUESTS = 1500
FUNCTIONS = 40
GATEWAYS = 2
START = 20 * SECOND

LETTERS = {
    face.Attempt: "A",
    face.Wait: "W",
    face.Cancel: "C",
    face.LoadOrder: "O",
    face.Probe: "P",
    face.PollHostList: "L",
    face.Reject: "R",
    face.Fail: "F",
}

# Why a request was rejected, as the digests have it.
REASONS = {
    face.RejectReason.OVERLOADED: "crowded",
    face.RejectReason.QUEUE_TOO_LONG: "queue",
    face.RejectReason.HOST_FULL: "full",
    face.RejectReason.LATENCY_OBJECTIVE_MISSED: "late",
    face.RejectReason.NO_HOST_AVAILABLE: "nobody",
}

IDEMPOTENT = (face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, SECOND, 4 * SECOND, 1.0)
KEYED = (
    face.Idempotency.IDEMPOTENT_WITH_KEY,
    face.IdempotencyScope.ZONE,
    2 * SECOND,
    400 * MILLI,
    3 * SECOND,
    3.0,
)
KEYED_IN_CELL = (
    face.Idempotency.IDEMPOTENT_WITH_KEY,
    face.IdempotencyScope.CELL,
    SECOND,
    SECOND,
    2 * SECOND,
    0.5,
)
NON_IDEMPOTENT = (face.Idempotency.NON_IDEMPOTENT, face.IdempotencyScope.ALL, 0, 700 * MILLI, 5 * SECOND, 2.0)
FREE = (face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, 3 * SECOND, 9 * SECOND, 0.0)

# Terms by position, after the request classes: see `face.Terms`.
PLAIN = (
    (), 1.0, 5 * SECOND, True, 6.0, 0.3, 10 * SECOND, True, True, False, False, (), 0.0, 0.0, False, 1,
    True, False, 4, 300 * MILLI, 0.2, 6 * SECOND, False, -1, 0.0,
)  # fmt: skip
PROBING = (
    (0.5, 0.2), 0.3, 2 * SECOND, False, 0.0, 0.0, 0, False, False, True, True,
    ("in_hand", "cpu_busy", "memory_busy"), 0.002, 0.0005, True, 2,
    False, True, 8, 0, 0.1, 4 * SECOND, True, 1, 0.2,
)  # fmt: skip
TELLING = (
    (0.1,), 0.5, 8 * SECOND, True, 3.0, 0.2, 4 * SECOND, True, True, True, True,
    ("waiting", "cpu_busy"), 0.0, 0.0, True, 3,
    True, False, 3, 2 * SECOND, 0.3, 20 * SECOND, True, 0, 0.5, 3.0,
)  # fmt: skip


def recorded(part):
    """A part of an action as the digests have it."""
    return REASONS[part] if isinstance(part, face.RejectReason) else part


class World:
    """Hosts that answer, refuse, fail, fall silent, restart and leave, by a seed, and the gateways."""

    def __init__(self, seed, classes, terms, host_count, pace):
        self.random, self.now, self.pace = Random(seed), START, pace
        self.classes = tuple(face.RequestClass(*each) for each in classes)
        self.terms = face.RoutingSettings(self.classes, *terms)
        self.digest, self.events, self.count = sha256(), [], 0
        self.gateways = [Gateway(seed + number, self.terms, self.now) for number in range(GATEWAYS)]
        self.hosts = {f"h{number}": self.row(f"h{number}") for number in range(host_count)}
        self.sick, self.running, self.names = {}, {}, host_count
        self.kinds = {}

    def row(self, name):
        started = self.random.choice([None, self.now - 30 * SECOND, self.now - SECOND, self.now])
        zone, cell = self.random.randrange(3), self.random.randrange(4)
        capacity = self.random.choice([1.0, 1.0, 2.0, 3.5])
        return face.ListedHost(name, zone, cell, face.ListedHostState.ACTIVE, capacity, started)

    def note(self, *fields):
        self.kinds[fields[1]] = self.kinds.get(fields[1], 0) + 1
        self.digest.update(repr((self.now, *fields)).encode())

    def at(self, when, does, *arguments):
        self.count += 1
        heappush(self.events, (when, self.count, does, arguments))

    def play(self):
        for gateway in self.gateways:
            gateway.update_hosts(self.now, list(self.hosts.values()), complete=True)
        for number in range(GATEWAYS):
            key = (number, "housekeep")
            self.running[key] = [self.gateways[number].housekeep(self.now), None, 0]
            self.advance(key, None)
        when = self.now
        for number in range(REQUESTS):
            when += int(self.random.expovariate(1 / self.pace))
            self.at(when, self.arrive, number)
        for change in range(40):
            self.at(START + change * (when - START) // 40 + 1, self.disturb)
        while self.events and self.now < when + 20 * SECOND:
            self.now, _, does, arguments = heappop(self.events)
            does(*arguments)
        for number, gateway in enumerate(self.gateways):
            self.observations(number, gateway, -1)
        return self.digest.hexdigest()[:16]

    # Requests

    def arrive(self, number):
        which = self.random.randrange(GATEWAYS)
        rank = min(FUNCTIONS - 1, int(self.random.expovariate(0.25)))
        request_class = self.random.randrange(len(self.classes))
        load_time = self.random.choice([None, 300 * MILLI])
        hard_limit = self.classes[request_class][4]
        request = face.Request(
            f"t{number}", number % 3, hard_limit, f"f{rank}", 1 + rank % 5, load_time, request_class
        )
        key = (which, request[0])
        self.running[key] = [self.gateways[which].serve(self.now, request), request, 0]
        self.advance(key, None)

    def advance(self, key, value):
        """Drive one generator until it waits or ends."""
        running = self.running.get(key)
        if running is None:
            return
        running[2] += 1
        attempts = 0
        while True:
            try:
                action = running[0].send(value)
            except StopIteration:
                del self.running[key]
                self.note(key, "end")
                return
            value = None
            self.note(key, LETTERS[type(action)], *map(recorded, action))
            if isinstance(action, face.Wait):
                self.at(max(self.now, action[0]), self.time_came, key, running[2])
                return
            if isinstance(action, face.Attempt):
                value = running[2] * 10 + attempts
                attempts += 1
                self.attempt(key, running[1], value, action[0])
            elif isinstance(action, face.LoadOrder):
                self.order(key[0], action)
            elif isinstance(action, face.Probe):
                self.at(self.now + 2 * MILLI, self.probe, key[0], action[0])
            elif isinstance(action, face.PollHostList):
                self.at(self.now + 3 * MILLI, self.list_comes, key[0])

    def time_came(self, key, turn):
        if key in self.running and self.running[key][2] == turn:
            self.advance(key, (self.now, None))

    def attempt(self, key, request, number, host):
        row = self.hosts.get(host)
        if row is None:
            self.at(self.now + MILLI, self.outcome, key, number, host, face.Result.CONNECT_FAILED, MILLI)
            return
        state = self.sick.get(host, "well")
        if state == "silent":
            took = 3 * SECOND
            self.at(self.now + took, self.outcome, key, number, host, face.Result.TIMEOUT, took)
            return
        result = self.random.choices(
            [
                face.Result.OK, face.Result.FULL, face.Result.ERROR, face.Result.RESET,
                face.Result.NOT_LOADED, face.Result.NOT_SENT, face.Result.CANCELLED, face.Result.TIMEOUT,
                face.Result.STREAM_STARTED, face.Result.CLIENT_LEFT,
            ],
            [30, 200, 1, 1, 1, 0, 0, 0, 0, 0] if state == "full"
            else [30, 5, 100, 30, 3, 0, 0, 0, 0, 0] if state == "failing"
            else [900, 12, 10, 6, 10, 3, 3, 5, 10, 5],
        )[0]  # fmt: skip
        took = int(self.random.expovariate(1 / (60 * MILLI)) * (6 if state == "slow" else 1)) + MILLI
        if result is not face.Result.OK:
            took = took // 4 + 1
        self.at(self.now + took, self.outcome, key, number, host, result, took)

    def outcome(self, key, number, host, result, took):
        found = face.InstanceStatus.UNKNOWN
        if self.terms[8] and result is face.Result.OK:
            found = self.random.choices(list(face.InstanceStatus), [1, 12, 2, 2, 1])[0]
        alike = self.random.randrange(12) if self.terms[7] else None
        ends = (face.Result.OK, face.Result.CLIENT_LEFT)
        outcome = face.Outcome(
            key[1], number, host, result, took, result in ends, found, alike, self.report(host)
        )
        self.gateways[key[0]].attempt_ended(self.now, outcome)
        self.advance(key, (self.now, outcome))
        if result is face.Result.STREAM_STARTED:
            ends_at = self.now + 3 * SECOND // 2
            self.at(ends_at, self.outcome, key, number, host, face.Result.OK, took + 3 * SECOND // 2)

    def report(self, host):
        if self.random.random() < 0.2:
            return None
        busy = len(host) + self.random.randrange(14)
        return self.random.choice(
            [
                face.HostLoadReport(float(busy), float(busy // 2), busy / 20, self.random.random()),
                face.HostLoadReport(None, float(busy), None, 0.5),
                face.HostLoadReport(None, None, busy / 16, None),
                face.HostLoadReport(None, None, None, None),
            ]
        )

    def order(self, which, action):
        result = self.random.choice([face.Result.OK, face.Result.OK, face.Result.TIMEOUT])
        took = self.random.choice([2 * MILLI, 400 * MILLI])
        self.at(self.now + took, self.ordered, which, action, result)

    def ordered(self, which, action, result):
        self.gateways[which].load_order_ended(self.now, action[0], action[1], result, action[2])

    def probe(self, which, host):
        good = host in self.hosts and self.sick.get(host) != "silent"
        payload = self.gateways[which].probe_ended(
            self.now, host, self.report(host) if good else None, good=good
        )
        self.note(which, "words", payload)
        arrival = self.now + MILLI
        for other in range(GATEWAYS) if payload is not None else ():
            if other != which:
                self.at(arrival, self.gateways[other].peer_message_received, arrival, payload)

    # The host list, faults, and what others report

    def list_comes(self, which):
        if self.random.random() < 0.1:
            self.gateways[which].host_list_poll_failed(self.now)
        else:
            self.gateways[which].update_hosts(self.now, list(self.hosts.values()), complete=True)

    def disturb(self):
        change = self.random.randrange(9)
        name = self.random.choice(sorted(self.hosts))
        self.note(name, "change", change)
        if change == 0 and len(self.hosts) > 3:
            del self.hosts[name]
        elif change == 1:
            self.hosts[f"h{self.names}"] = self.row(f"h{self.names}")
            self.names += 1
        elif change == 2:
            self.hosts[name] = self.row(name)  # it started anew, or moved
        elif change == 3:
            listed = list(self.hosts[name])
            listed[3] = self.random.choice([face.ListedHostState.DRAINING, face.ListedHostState.GONE])
            self.hosts[name] = face.ListedHost(*listed)
        elif change in (4, 5):
            self.sick[name] = self.random.choice(["silent", "failing", "full", "slow"])
        elif change == 6:
            zone = self.hosts[name][1]
            self.sick.update({each[0]: "silent" for each in self.hosts.values() if each[1] == zone})
        else:
            self.sick = {}
        for gateway in self.gateways if self.random.random() < 0.8 else ():
            gateway.update_hosts(self.now, list(self.hosts.values()), complete=self.random.random() < 0.7)
        self.hint(self.random.randrange(GATEWAYS))

    def hint(self, which):
        """What others report, also of hosts and functions that are not known."""
        gateway, draw = self.gateways[which], self.random
        taken = []
        for _ in range(12):
            host = f"h{draw.randrange(self.names + 2)}"
            seen = self.now - draw.randrange(3 * SECOND)
            taken.append(gateway.hint_instance(host, f"f{draw.randrange(FUNCTIONS + 20)}", 2, seen))
            taken.append(gateway.hint_failures(host, draw.randrange(len(self.classes)), 0.7, seen))
            taken.append(gateway.hint_slowdown(host, 1.0 + 4 * draw.random(), seen))
            taken.append(gateway.hint_usual_time(f"f{draw.randrange(FUNCTIONS)}", 80 * MILLI))
        taken.append(gateway.hint_usual_time(None, 500 * MILLI))
        if draw.random() < 0.5:
            gateway.hint_function_mix([f"f{draw.randrange(8)}" for _ in range(100)] + [""] * 28)
        self.note(which, "hints", taken)
        self.observations(which, gateway, draw.choice([-1, self.now - SECOND]))

    def observations(self, which, gateway, since):
        self.note(
            which, "observations", [tuple(each) for each in gateway.observations_since(self.now, since)]
        )


@pytest.mark.parametrize(
    ("seed", "classes", "terms", "hosts", "pace", "expected"),
    [
        (1, (IDEMPOTENT,), PLAIN, 8, 4 * MILLI, "932ad047a9884a09"),
        (2, (IDEMPOTENT, KEYED, NON_IDEMPOTENT), PLAIN, 5, 2 * MILLI, "de263905c241ff84"),
        (3, (IDEMPOTENT, KEYED, KEYED_IN_CELL, FREE), PROBING, 12, 3 * MILLI, "1615c2d6ec8cf1e9"),
        (4, (NON_IDEMPOTENT, IDEMPOTENT, FREE), TELLING, 20, 2 * MILLI, "2c2b59215c15d1e1"),
        (5, (IDEMPOTENT, KEYED_IN_CELL), TELLING, 70, 10 * MILLI, "e4b3ea46c83b92c0"),
        (6, (KEYED, NON_IDEMPOTENT, FREE), PROBING, 3, 8 * MILLI, "92598a72534e8085"),
    ],
)
def test_actions_are_those_of_the_recorded_digest(seed, classes, terms, hosts, pace, expected):
    world = World(seed, classes, terms, hosts, pace)
    digest = world.play()
    assert set("AW") <= set(world.kinds)
    assert digest == expected, world.kinds
