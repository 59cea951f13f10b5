"""A digest of all decisions in a simulated fleet: a refactoring must not change any action.

The digests were computed at revision 52a50eb. Actions are digested as letters and values, so that the digests
do not depend on names. An intended change of behaviour changes the digests; its commit says why.
"""

from hashlib import sha256
from heapq import heappop, heappush
from random import Random

import pytest

from gaproute import interface
from gaproute.decisions.routing import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000
REQUESTS = 1500
FUNCTIONS = 40
GATEWAYS = 2
START = 20 * SECOND

ACTION_LETTERS = {
    interface.Attempt: "A",
    interface.Wait: "W",
    interface.Cancel: "C",
    interface.LoadOrder: "O",
    interface.Probe: "P",
    interface.PollHostList: "L",
    interface.Reject: "R",
    interface.Fail: "F",
}

# Names of reasons in the digests.
REASON_NAMES = {
    interface.RejectReason.OVERLOADED: "crowded",
    interface.RejectReason.QUEUE_TOO_LONG: "queue",
    interface.RejectReason.HOST_FULL: "full",
    interface.RejectReason.LATENCY_OBJECTIVE_MISSED: "late",
    interface.RejectReason.NO_HOST_AVAILABLE: "nobody",
}

IDEMPOTENT = (interface.Idempotency.IDEMPOTENT, interface.IdempotencyScope.ALL, 0, SECOND, 4 * SECOND, 1.0)
KEYED = (
    interface.Idempotency.IDEMPOTENT_WITH_KEY,
    interface.IdempotencyScope.ZONE,
    2 * SECOND,
    400 * MILLI,
    3 * SECOND,
    3.0,
)
KEYED_IN_CELL = (
    interface.Idempotency.IDEMPOTENT_WITH_KEY,
    interface.IdempotencyScope.CELL,
    SECOND,
    SECOND,
    2 * SECOND,
    0.5,
)
NON_IDEMPOTENT = (
    interface.Idempotency.NON_IDEMPOTENT,
    interface.IdempotencyScope.ALL,
    0,
    700 * MILLI,
    5 * SECOND,
    2.0,
)
WEIGHTLESS = (
    interface.Idempotency.IDEMPOTENT,
    interface.IdempotencyScope.ALL,
    0,
    3 * SECOND,
    9 * SECOND,
    0.0,
)

# Fields of `interface.RoutingSettings` by position, after the request classes.
PLAIN = (
    (), 1.0, 5 * SECOND, True, 6.0, 0.3, 10 * SECOND, True, True, False, False, (), 0.0, 0.0, False, 1,
    True, False, 4, 300 * MILLI, 0.2, 6 * SECOND, False, -1, 0.0,
)  # fmt: skip
PROBING = (
    (0.5, 0.2), 0.3, 2 * SECOND, False, 0.0, 0.0, 0, False, False, True, True,
    ("in_hand", "cpu_busy", "memory_busy"), 0.002, 0.0005, True, 2,
    False, True, 8, 0, 0.1, 4 * SECOND, True, 1, 0.2,
)  # fmt: skip
SHARING = (
    (0.1,), 0.5, 8 * SECOND, True, 3.0, 0.2, 4 * SECOND, True, True, True, True,
    ("waiting", "cpu_busy"), 0.0, 0.0, True, 3,
    True, False, 3, 2 * SECOND, 0.3, 20 * SECOND, True, 0, 0.5, 3.0,
)  # fmt: skip


def digested_value(field):
    """Returns the value of a field of an action that goes into the digest."""
    return REASON_NAMES[field] if isinstance(field, interface.RejectReason) else field


class SimulatedFleet:
    """Gateways, and hosts that answer, refuse, fail, become silent, restart and leave by a seed."""

    def __init__(self, seed, classes, settings, host_count, mean_interval):
        self.random, self.now, self.mean_interval = Random(seed), START, mean_interval
        self.classes = tuple(interface.RequestClass(*fields) for fields in classes)
        self.settings = interface.RoutingSettings(self.classes, *settings)
        self.digest, self.events, self.scheduled_count = sha256(), [], 0
        self.gateways = [Gateway(seed + number, self.settings, self.now) for number in range(GATEWAYS)]
        self.hosts = {f"h{number}": self.row(f"h{number}") for number in range(host_count)}
        self.host_faults, self.running, self.next_host_number = {}, {}, host_count
        self.event_counts = {}

    def row(self, name):
        started = self.random.choice([None, self.now - 30 * SECOND, self.now - SECOND, self.now])
        zone, cell = self.random.randrange(3), self.random.randrange(4)
        capacity = self.random.choice([1.0, 1.0, 2.0, 3.5])
        return interface.ListedHost(name, zone, cell, interface.ListedHostState.ACTIVE, capacity, started)

    def record(self, *fields):
        self.event_counts[fields[1]] = self.event_counts.get(fields[1], 0) + 1
        self.digest.update(repr((self.now, *fields)).encode())

    def schedule(self, when, callback, *arguments):
        self.scheduled_count += 1
        heappush(self.events, (when, self.scheduled_count, callback, arguments))

    def run(self):
        for gateway in self.gateways:
            gateway.update_hosts(self.now, list(self.hosts.values()), complete=True)
        for number in range(GATEWAYS):
            key = (number, "housekeep")
            self.running[key] = [self.gateways[number].housekeep(self.now), None, 0]
            self.advance(key, None)
        when = self.now
        for number in range(REQUESTS):
            when += int(self.random.expovariate(1 / self.mean_interval))
            self.schedule(when, self.start_request, number)
        for change in range(40):
            self.schedule(START + change * (when - START) // 40 + 1, self.change_fleet)
        while self.events and self.now < when + 20 * SECOND:
            self.now, _, callback, arguments = heappop(self.events)
            callback(*arguments)
        for number, gateway in enumerate(self.gateways):
            self.record_observations(number, gateway, -1)
        return self.digest.hexdigest()[:16]

    # Requests

    def start_request(self, number):
        gateway_number = self.random.randrange(GATEWAYS)
        rank = min(FUNCTIONS - 1, int(self.random.expovariate(0.25)))
        request_class = self.random.randrange(len(self.classes))
        load_time = self.random.choice([None, 300 * MILLI])
        hard_limit = self.classes[request_class][4]
        request = interface.Request(
            f"t{number}", number % 3, hard_limit, f"f{rank}", 1 + rank % 5, load_time, request_class
        )
        key = (gateway_number, request[0])
        self.running[key] = [self.gateways[gateway_number].serve(self.now, request), request, 0]
        self.advance(key, None)

    def advance(self, key, value):
        """Drives one generator until it waits or ends."""
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
                self.record(key, "end")
                return
            value = None
            self.record(key, ACTION_LETTERS[type(action)], *map(digested_value, action))
            if isinstance(action, interface.Wait):
                self.schedule(max(self.now, action[0]), self.end_wait, key, running[2])
                return
            if isinstance(action, interface.Attempt):
                value = running[2] * 10 + attempts
                attempts += 1
                self.send_attempt(key, running[1], value, action[0])
            elif isinstance(action, interface.LoadOrder):
                self.send_load_order(key[0], action)
            elif isinstance(action, interface.Probe):
                self.schedule(self.now + 2 * MILLI, self.end_probe, key[0], action[0])
            elif isinstance(action, interface.PollHostList):
                self.schedule(self.now + 3 * MILLI, self.end_poll, key[0])

    def end_wait(self, key, turn):
        if key in self.running and self.running[key][2] == turn:
            self.advance(key, (self.now, None))

    def send_attempt(self, key, request, number, host):
        row = self.hosts.get(host)
        if row is None:
            self.schedule(
                self.now + MILLI, self.end_attempt, key, number, host, interface.Result.CONNECT_FAILED, MILLI
            )
            return
        state = self.host_faults.get(host, "well")
        if state == "silent":
            took = 3 * SECOND
            self.schedule(
                self.now + took, self.end_attempt, key, number, host, interface.Result.TIMEOUT, took
            )
            return
        result = self.random.choices(
            [
                interface.Result.OK, interface.Result.FULL, interface.Result.ERROR, interface.Result.RESET,
                interface.Result.NOT_LOADED, interface.Result.NOT_SENT, interface.Result.CANCELLED,
                interface.Result.TIMEOUT, interface.Result.STREAM_STARTED, interface.Result.CLIENT_LEFT,
            ],
            [30, 200, 1, 1, 1, 0, 0, 0, 0, 0] if state == "full"
            else [30, 5, 100, 30, 3, 0, 0, 0, 0, 0] if state == "failing"
            else [900, 12, 10, 6, 10, 3, 3, 5, 10, 5],
        )[0]  # fmt: skip
        took = int(self.random.expovariate(1 / (60 * MILLI)) * (6 if state == "slow" else 1)) + MILLI
        if result is not interface.Result.OK:
            took = took // 4 + 1
        self.schedule(self.now + took, self.end_attempt, key, number, host, result, took)

    def end_attempt(self, key, number, host, result, took):
        found = interface.InstanceStatus.UNKNOWN
        if self.settings[8] and result is interface.Result.OK:
            found = self.random.choices(list(interface.InstanceStatus), [1, 12, 2, 2, 1])[0]
        same_function_requests = self.random.randrange(12) if self.settings[7] else None
        final_results = (interface.Result.OK, interface.Result.CLIENT_LEFT)
        outcome = interface.Outcome(
            key[1],
            number,
            host,
            result,
            took,
            result in final_results,
            found,
            same_function_requests,
            self.report(host),
        )
        self.gateways[key[0]].attempt_ended(self.now, outcome)
        self.advance(key, (self.now, outcome))
        if result is interface.Result.STREAM_STARTED:
            ends_at = self.now + 3 * SECOND // 2
            self.schedule(
                ends_at, self.end_attempt, key, number, host, interface.Result.OK, took + 3 * SECOND // 2
            )

    def report(self, host):
        if self.random.random() < 0.2:
            return None
        busy = len(host) + self.random.randrange(14)
        return self.random.choice(
            [
                interface.HostLoadReport(float(busy), float(busy // 2), busy / 20, self.random.random()),
                interface.HostLoadReport(None, float(busy), None, 0.5),
                interface.HostLoadReport(None, None, busy / 16, None),
                interface.HostLoadReport(None, None, None, None),
            ]
        )

    def send_load_order(self, gateway_number, action):
        result = self.random.choice([interface.Result.OK, interface.Result.OK, interface.Result.TIMEOUT])
        took = self.random.choice([2 * MILLI, 400 * MILLI])
        self.schedule(self.now + took, self.end_load_order, gateway_number, action, result)

    def end_load_order(self, gateway_number, action, result):
        self.gateways[gateway_number].load_order_ended(self.now, action[0], action[1], result, action[2])

    def end_probe(self, gateway_number, host):
        good = host in self.hosts and self.host_faults.get(host) != "silent"
        message = self.gateways[gateway_number].probe_ended(
            self.now, host, self.report(host) if good else None, good=good
        )
        self.record(gateway_number, "words", message)
        arrival = self.now + MILLI
        for other in range(GATEWAYS) if message is not None else ():
            if other != gateway_number:
                self.schedule(arrival, self.gateways[other].peer_message_received, arrival, message)

    # The host list, faults and hints

    def end_poll(self, gateway_number):
        if self.random.random() < 0.1:
            self.gateways[gateway_number].host_list_poll_failed(self.now)
        else:
            self.gateways[gateway_number].update_hosts(self.now, list(self.hosts.values()), complete=True)

    def change_fleet(self):
        change = self.random.randrange(9)
        name = self.random.choice(sorted(self.hosts))
        self.record(name, "change", change)
        if change == 0 and len(self.hosts) > 3:
            del self.hosts[name]
        elif change == 1:
            self.hosts[f"h{self.next_host_number}"] = self.row(f"h{self.next_host_number}")
            self.next_host_number += 1
        elif change == 2:
            self.hosts[name] = self.row(name)  # the host has restarted or has moved to another zone
        elif change == 3:
            listed = list(self.hosts[name])
            listed[3] = self.random.choice(
                [interface.ListedHostState.DRAINING, interface.ListedHostState.GONE]
            )
            self.hosts[name] = interface.ListedHost(*listed)
        elif change in (4, 5):
            self.host_faults[name] = self.random.choice(["silent", "failing", "full", "slow"])
        elif change == 6:
            zone = self.hosts[name][1]
            self.host_faults.update({each[0]: "silent" for each in self.hosts.values() if each[1] == zone})
        else:
            self.host_faults = {}
        for gateway in self.gateways if self.random.random() < 0.8 else ():
            gateway.update_hosts(self.now, list(self.hosts.values()), complete=self.random.random() < 0.7)
        self.add_hints(self.random.randrange(GATEWAYS))

    def add_hints(self, gateway_number):
        """Adds hints, some of them on unknown hosts and functions."""
        gateway, random = self.gateways[gateway_number], self.random
        accepted = []
        for _ in range(12):
            host = f"h{random.randrange(self.next_host_number + 2)}"
            seen = self.now - random.randrange(3 * SECOND)
            accepted.append(gateway.hint_instance(host, f"f{random.randrange(FUNCTIONS + 20)}", 2, seen))
            accepted.append(gateway.hint_failures(host, random.randrange(len(self.classes)), 0.7, seen))
            accepted.append(gateway.hint_slowdown(host, 1.0 + 4 * random.random(), seen))
            accepted.append(gateway.hint_usual_time(f"f{random.randrange(FUNCTIONS)}", 80 * MILLI))
        accepted.append(gateway.hint_usual_time(None, 500 * MILLI))
        if random.random() < 0.5:
            gateway.hint_function_mix([f"f{random.randrange(8)}" for _ in range(100)] + [""] * 28)
        self.record(gateway_number, "hints", accepted)
        self.record_observations(gateway_number, gateway, random.choice([-1, self.now - SECOND]))

    def record_observations(self, gateway_number, gateway, since):
        self.record(
            gateway_number,
            "observations",
            [tuple(each) for each in gateway.observations_since(self.now, since)],
        )


@pytest.mark.parametrize(
    ("seed", "classes", "settings", "hosts", "mean_interval", "expected"),
    [
        (1, (IDEMPOTENT,), PLAIN, 8, 4 * MILLI, "932ad047a9884a09"),
        (2, (IDEMPOTENT, KEYED, NON_IDEMPOTENT), PLAIN, 5, 2 * MILLI, "de263905c241ff84"),
        (3, (IDEMPOTENT, KEYED, KEYED_IN_CELL, WEIGHTLESS), PROBING, 12, 3 * MILLI, "1615c2d6ec8cf1e9"),
        (4, (NON_IDEMPOTENT, IDEMPOTENT, WEIGHTLESS), SHARING, 20, 2 * MILLI, "2c2b59215c15d1e1"),
        (5, (IDEMPOTENT, KEYED_IN_CELL), SHARING, 70, 10 * MILLI, "e4b3ea46c83b92c0"),
        (6, (KEYED, NON_IDEMPOTENT, WEIGHTLESS), PROBING, 3, 8 * MILLI, "92598a72534e8085"),
    ],
)
def test_actions_match_the_recorded_digest(seed, classes, settings, hosts, mean_interval, expected):
    fleet = SimulatedFleet(seed, classes, settings, hosts, mean_interval)
    digest = fleet.run()
    assert set("AW") <= set(fleet.event_counts)
    assert digest == expected, fleet.event_counts
