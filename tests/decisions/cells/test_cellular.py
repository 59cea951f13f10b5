"""`CellularGateway`: a single cell, several cells, changes between the two, and housekeeping."""

from random import Random

import pytest
from cells_tables import cell, cells, table
from cellular_gateways import LOCATION, function_with_home, make_gateway
from helpers import ROUTING_SETTINGS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.routing import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000


class RandomPlay:
    """Plays random requests, answers, host lists and health checks against a gateway; stores its actions."""

    def __init__(self, gateway, seed, passes_cell):
        self.gateway, self.random, self.passes_cell = gateway, Random(seed), passes_cell
        self.now, self.actions, self.requests, self.in_flight = 0, [], {}, []
        self.names = [f"host{number}" for number in range(8)]

    def play(self, steps):
        self.update_hosts(True)
        self.housekeeping = self.gateway.housekeep(0)
        self.record_housekeeping(next(self.housekeeping))
        for step in range(steps):
            self.now += self.random.randrange(1, 60) * MILLI
            event = self.random.choice(
                [self.start_request] * 4
                + [self.answer_attempt] * 5
                + [self.end_wait] * 2
                + [self.other_event]
            )
            event(step)
        return self.actions

    def update_hosts(self, complete):
        names = self.names if complete else self.random.sample(self.names, 3)
        rows = [
            row(
                name,
                zone=self.random.randrange(2),
                state=self.random.choice([face.ListedHostState.ACTIVE] * 5 + [face.ListedHostState.DRAINING]),
                started=self.random.choice([None, 0]),
            )
            for name in names
        ]
        options = {"cell": "only"} if self.passes_cell else {}
        self.gateway.update_hosts(self.now, rows, complete=complete, **options)

    def start_request(self, step):
        function, request_class = f"f{self.random.randrange(6)}", self.random.randrange(3)
        serve = self.gateway.serve(self.now, task(f"t{step}", function, request_class))
        self.requests[f"t{step}"] = [serve, 0]
        self.advance(f"t{step}", None)

    def advance(self, name, value):
        state = self.requests.get(name)
        if state is None:
            return
        while True:
            try:
                action = state[0].send(value)
            except StopIteration:
                del self.requests[name]
                return
            self.actions.append((self.now, name, action))
            value = None
            if isinstance(action, face.Wait):
                return
            if isinstance(action, face.Attempt):
                value, state[1] = state[1], state[1] + 1
                self.in_flight.append((name, value, action.host, self.now))

    def answer_attempt(self, step):
        if not self.in_flight:
            return
        name, attempt, host, sent = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
        result = self.random.choice(
            [face.Result.OK] * 6
            + [r for r in face.Result if r not in (face.Result.STREAM_STARTED, face.Result.CLIENT_LEFT)]
        )
        outcome = face.Outcome(
            name, attempt, host, result, self.now - sent, result is face.Result.OK,
            self.random.choice(list(face.InstanceStatus)), self.random.choice([None, 1, 9]),
            face.HostLoadReport(in_hand=float(self.random.randrange(20)), memory_busy=self.random.random()),
        )  # fmt: skip
        self.gateway.attempt_ended(self.now, outcome)
        self.advance(name, (self.now, outcome))

    def end_wait(self, step):
        if self.requests:
            self.advance(self.random.choice(sorted(self.requests)), (self.now, None))

    def other_event(self, step):
        match self.random.randrange(4):
            case 0:
                self.update_hosts(self.random.random() < 0.5)
            case 1:
                host = self.random.choice(self.names)
                report = face.HostLoadReport(in_hand=float(self.random.randrange(9)))
                self.actions.append(
                    self.gateway.probe_ended(self.now, host, report, good=self.random.random() < 0.8)
                )
            case 2:
                name = self.random.choice(self.names)
                self.gateway.load_order_ended(
                    self.now, name, f"f{self.random.randrange(6)}", face.Result.OK, 1
                )
            case _:
                self.record_housekeeping(self.housekeeping.send((self.now, None)))

    def record_housekeeping(self, action):
        while not isinstance(action, face.Wait):
            self.actions.append((self.now, "", action))
            action = self.housekeeping.send(None)
        self.actions.append((self.now, "", action))


@pytest.mark.parametrize("seed", range(12))
def test_a_gateway_of_one_cell_yields_the_same_actions_as_one_without_cells(seed):
    routing_settings = ROUTING_SETTINGS._replace(
        reports_by_probe=True, reported_figures=("in_hand",), probe_price=0.0
    )
    plain_actions = RandomPlay(Gateway(7, routing_settings, 0), seed, False).play(2500)
    untabled_actions = RandomPlay(CellularGateway(7, routing_settings, 0), seed, False).play(2500)
    gateway = CellularGateway(7, routing_settings, 0, LOCATION)
    gateway.adopt(0, table([cell("only")]))
    assert gateway.cells_to_follow() == ("only",)
    one_cell_actions = RandomPlay(gateway, seed, True).play(2500)
    assert len(plain_actions) > 2000
    for index, (plain, untabled, one_cell) in enumerate(
        zip(plain_actions, untabled_actions, one_cell_actions, strict=True)
    ):
        assert plain == untabled == one_cell, index


def test_attributes_of_the_single_gateway_can_be_read():
    gateway = CellularGateway(7, ROUTING_SETTINGS, 0)
    gateway.update_hosts(0, [row("a"), row("b")], complete=True)
    assert gateway.active_hosts == gateway.single_gateway.active_hosts
    assert gateway.hint_instance("a", "f", 4, 5)
    with pytest.raises(ValueError, match="without a location"):
        gateway.adopt(0, table(cells(2)))


def test_requests_in_flight_end_after_changes_of_the_table():
    gateway = make_gateway()
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7")))
    gateway.adopt(0, table([each for each in cells(26) if each.name not in ("cell7", "cell0")], number=2))
    assert "cell0" not in gateway.local.gateways
    drive.hears(MILLI, face.Result.CONNECT_FAILED)
    assert not drive.ended
    one = table([cell("only")], number=3)
    gateway.adopt(0, one)
    drive.hears(2 * MILLI, face.Result.OK, 1)
    assert drive.ended
    assert gateway.cells_to_follow() == ("only",)
    gateway.adopt(0, table(cells(26), number=4))
    assert Drive(gateway, task("n", function_with_home(gateway, "cell7"))).sent


def test_requests_of_a_single_cell_end_after_it_becomes_one_of_several():
    gateway = CellularGateway(7, ROUTING_SETTINGS, 0, LOCATION)
    gateway.adopt(0, table(cells(1)))
    gateway.update_hosts(0, [row("a"), row("b")], complete=True, cell="cell0")
    drive = Drive(gateway, task("t"))
    gateway.adopt(0, table(cells(26), number=2))
    assert "cell0" in gateway.local.gateways or "cell0" not in gateway.cells_to_follow()
    drive.hears(MILLI, face.Result.OK)
    assert drive.ended
    assert not gateway.previous_single_gateway.tracker.in_flight


def test_all_known_cells_share_one_load_order_limiter():
    gateway = make_gateway(known=("cell0", "cell13"))
    gateway.update_hosts(0, [row("x")], complete=True, cell=gateway.cells_to_follow()[0])
    gateway.update_hosts(0, [row("y")], complete=True, cell=gateway.cells_to_follow()[1])
    limiters = {id(each.load_order_limiter) for each in gateway.local.gateways.values()}
    assert len(gateway.local.gateways) == 2
    assert limiters == {id(gateway.local.load_order_limiter)}


def test_housekeeping_probes_the_hosts_of_all_known_cells():
    gateway = make_gateway(reports_by_probe=True, reported_figures=("in_hand",))
    for name in gateway.cells_to_follow():
        gateway.update_hosts(0, [row(f"{name}-{host}") for host in "ab"], complete=True, cell=name)
    housekeeping, now, probed = gateway.housekeep(0), 0, set()
    action = next(housekeeping)
    for _ in range(200):
        if isinstance(action, face.Wait):
            now = max(now, action.until)
            action = housekeeping.send((now, None))
        else:
            probed.add(action.host)
            action = housekeeping.send(None)
    assert {host.rsplit("-", 1)[0] for host in probed} == set(gateway.cells_to_follow())
