"""Connections between their requests: who comes in, who waits, who must leave, and the arrays they stand
in."""

import os
import resource
import socket
import time

import pytest
from helpers import makers
from hypothesis import given
from hypothesis import strategies as st

from gaproute.connections import AcceptedConnections, Calendar, accepted
from gaproute.connections.calendar import SLOT_WIDTH
from gaproute.connections.parked import MAX_EXPIRIES_PER_TURN
from gaproute.decisions.admission.admission import (
    HOST_DESCRIPTOR_SHARE,
    IDLE_JITTER,
    MAX_NEW_WAITING,
    MIN_IDLE,
    RESERVED_DESCRIPTORS,
    Admission,
    AdmissionQueue,
    IdleConnection,
    Verdict,
)
from gaproute.decisions.chance import Chance
from gaproute.http1 import Limits, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_time=60 * SECOND)


def admission(most=10, per_address=10, descriptors=10_000):
    return Admission(most, per_address, descriptors, Chance(1))


# The decisions on admission


def test_clients_can_never_take_what_is_kept_for_hosts_and_operators():
    assert admission(most=10**6, descriptors=20_000).max_connections == 20_000 - RESERVED_DESCRIPTORS - int(
        20_000 * HOST_DESCRIPTOR_SHARE
    )
    assert admission(most=100).max_connections == 100
    assert admission(descriptors=10).max_connections == 1


@pytest.mark.parametrize(
    ("held", "of_address", "spare", "said"),
    [
        (9, 0, False, Verdict.ACCEPT),
        (10, 0, True, Verdict.EVICT),
        (10, 0, False, Verdict.REJECT),
        (5, 10, True, Verdict.REJECT),
    ],
)
def test_an_arrival_is_taken_displaces_or_is_turned_away(held, of_address, spare, said):
    assert admission().admit(held, of_address, can_evict=spare) is said


def test_the_least_valuable_goes_then_the_longest_idle_and_none_that_was_busy_just_now():
    now = 100 * SECOND
    assert (
        admission().eviction_candidate(
            now,
            [
                IdleConnection(5, 10 * SECOND, 1),
                IdleConnection(0, 20 * SECOND, 2),
                IdleConnection(0, 30 * SECOND, 3),
            ],
        )
        == 2
    )
    assert admission().eviction_candidate(now, [IdleConnection(0, now - MIN_IDLE + 1, 1)]) is None
    assert admission().eviction_candidate(now, []) is None


def test_those_that_spoke_before_get_most_of_the_turns_and_fresh_ones_are_never_starved():
    made = admission()
    turns = [made.next_queue(1000, 100, True) for _ in range(4000)]
    assert turns.count(AdmissionQueue.RETURNING) == 3000
    assert 300 < turns.count(AdmissionQueue.NEW) < 700
    assert 300 < turns.count(AdmissionQueue.ARRIVING) < 700
    assert made.next_queue(0, 0, False) is None
    assert {made.next_queue(1, 0, False) for _ in range(8)} == {AdmissionQueue.RETURNING}
    assert {made.next_queue(0, MAX_NEW_WAITING, True) for _ in range(50)} == {
        AdmissionQueue.NEW
    }  # no more are accepted


@given(st.integers(1, 10**12), st.integers(0, 10**12))
def test_an_idle_time_is_never_shortened_and_spreads(idle, now):
    ends = {admission().idle_deadline(now, idle) for _ in range(5)}
    assert all(now + idle <= end <= now + idle * (1 + IDLE_JITTER) + 1 for end in ends)


# The calendar


@given(st.lists(st.integers(1, 10**9), max_size=60), st.lists(st.integers(0, 5 * 10**8), max_size=20))
def test_nothing_is_taken_early_nothing_is_lost_and_little_late(dues, steps):
    calendar, now, taken = Calendar(), 0, []
    for number, due in enumerate(dues):
        calendar.add(number, due)
    for step in [*steps, 2 * 10**9]:
        now += step
        for thing, _ in calendar.take_due(now, 1000):
            assert dues[thing] <= now
            taken.append(thing)
        assert all(due + SLOT_WIDTH > now for number, due in enumerate(dues) if number not in taken)
    assert sorted(taken) == list(range(len(dues)))
    assert calendar.next_due() is None
    assert not calendar.slots


def test_no_more_are_taken_at_once_than_asked_for_and_the_rest_come_next():
    calendar = Calendar()
    for number in range(10):
        calendar.add(number, 5)
    assert [thing for thing, _ in calendar.take_due(SECOND, 4)] == [0, 1, 2, 3]
    assert len(calendar.take_due(SECOND, 100)) == 6


@given(st.lists(st.integers(1, 10**9), min_size=1, max_size=60))
def test_the_first_are_those_that_are_due_first_and_stay(dues):
    calendar = Calendar()
    for number, due in enumerate(dues):
        calendar.add(number, due)
    first = calendar.earliest(5)
    slots = sorted(calendar.slot_of(due) for due in dues)
    assert sorted(calendar.slot_of(dues[thing]) for thing in first) == slots[:5]
    assert len(calendar.take_due(2 * 10**9, 1000)) == len(dues)


# Parked connections on sockets


class House:
    """A server on a loop of the test's own clock, and blocking clients."""

    def __init__(self, limits=LIMITS, made=None, answer=True):
        self.skew = 0
        self.loop = Loop(lambda: time.monotonic_ns() + self.skew)
        self.connections = AcceptedConnections(self.loop, made)
        self.asked, self.clients, self.answers = [], [], answer
        self.server = Server(self.loop, address("127.0.0.1:0"), self.handle, limits, counted=True)
        self.at = address(self.server.address)[1]

    def handle(self, request):
        self.asked.append(request)
        if self.answers:
            self.server.answer(request, 200, (), b"ok")

    def client(self, source="127.0.0.1"):
        made = socket.create_connection(self.at, source_address=(source, 0))
        made.settimeout(5)
        self.clients.append(made)
        return made

    def turns(self, condition, most=2000):
        for _ in range(most):
            if condition():
                return
            self.loop.run(until=self.loop.sleep(MILLI // 5))
        raise AssertionError("it did not come about")

    def ask(self, client):
        before = len(self.asked)
        client.sendall(HEAD)
        self.turns(lambda: len(self.asked) > before)
        return client.recv(4096)

    def close(self):
        for client in self.clients:
            client.close()
        self.server.close()
        self.loop.close()


@pytest.fixture
def house():
    yield from makers(House)


def test_a_connection_is_parked_until_it_speaks_and_again_when_it_is_quiet(house):
    made = house()
    client = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    assert not made.server.links
    assert made.loop.watched.keys() == {made.server.listener.sock.fileno()}
    for _ in range(3):
        assert b"200" in made.ask(client)
        assert len(made.server.links) == 1
        assert made.connections.parked_count == 0
        made.skew += 1300 * MILLI
        made.turns(lambda: made.connections.parked_count == 1)
        assert not made.server.links
        assert made.server.held == made.connections.client_count == 1


def test_one_that_speaks_at_once_again_is_not_parked_between(house):
    made = house()
    client = made.client()
    made.ask(client)
    (link,) = made.server.links
    made.ask(client)
    assert made.server.links == {link}


def test_a_parked_one_that_leaves_is_forgotten_with_its_address(house):
    made = house()
    client = made.client("127.0.0.7")
    made.turns(lambda: made.connections.parked_count == 1)
    assert "127.0.0.7" in made.connections.addresses
    client.close()
    made.turns(lambda: made.connections.client_count == 0)
    assert made.connections.parked_count == made.server.held == 0
    assert made.connections.addresses == {}


def test_one_at_work_that_leaves_is_forgotten_too(house):
    made = house(answer=False)
    client = made.client()
    client.sendall(HEAD)
    made.turns(lambda: made.asked)
    left = []
    made.asked[0].left = lambda: left.append(True)
    client.close()
    made.turns(lambda: left)
    made.server.answer(made.asked[0], 200, (), b"")
    made.turns(lambda: made.connections.client_count == 0)
    assert made.connections.addresses == {}
    assert not made.server.links


def test_an_idle_end_comes_on_time_and_is_moved_by_each_request(house):
    made = house(Limits(idle_time=10 * SECOND))
    client = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    made.skew += 9 * SECOND
    made.ask(client)
    made.skew += 2 * SECOND
    made.turns(lambda: made.connections.parked_count == 1)
    made.skew += 7 * SECOND  # 9 s after its last request, 18 s after it came
    made.loop.run(until=made.loop.sleep(20 * MILLI))
    assert made.connections.client_count == 1
    assert made.connections.expired == 0
    made.skew += 1100 * MILLI
    made.turns(lambda: made.connections.client_count == 0)
    assert made.connections.expired == 1
    assert client.recv(1) == b""


def test_after_a_stop_bytes_are_seen_before_an_idle_end_and_ends_do_not_fall_into_one_turn(house):
    made = house(Limits(idle_time=10 * SECOND))
    speaks = made.client()
    quiet = [made.client() for _ in range(MAX_EXPIRIES_PER_TURN + 40)]
    made.turns(lambda: made.connections.parked_count == len(quiet) + 1)
    speaks.sendall(HEAD)
    made.skew += 60 * SECOND  # the process stood still: all are overdue, and one has spoken
    made.loop.turn()
    assert len(made.asked) == 1
    assert made.asked[0].arrived < made.loop.now() - 40 * SECOND
    assert 0 < made.connections.expired <= MAX_EXPIRIES_PER_TURN
    made.turns(lambda: made.connections.client_count == 1)
    assert b"200" in speaks.recv(4096)


def turned_away(client):
    """Whether the connection was answered that there is no room, and closed."""
    said = b""
    while part := client.recv(4096):
        said += part
    return said.startswith(b"HTTP/1.1 503") and said.count(b"HTTP/1.1") == 1 and b"Connection: close" in said


def test_a_full_house_displaces_the_idle_and_turns_away_where_none_is(house):
    made = house(made=admission(most=3))
    made.connections.admission.announces_close = lambda held: False
    worthy, idle, busy = made.client(), made.client(), made.client()
    made.turns(lambda: made.connections.parked_count == 3)
    made.ask(worthy)
    made.skew += 1300 * MILLI
    made.turns(lambda: made.connections.parked_count == 3)
    late = made.client()
    made.turns(lambda: made.connections.rejected == 1)  # all were busy or came just now
    assert turned_away(late)
    made.skew += MIN_IDLE
    made.ask(busy)
    fresh = made.client()
    made.turns(lambda: made.connections.evicted == 1)
    assert idle.recv(1) == b""
    assert made.connections.client_count == 3
    assert b"200" in made.ask(fresh)
    assert b"200" in made.ask(worthy)


def test_one_address_cannot_take_the_house(house):
    made = house(made=admission(per_address=2))
    kept = [made.client("127.0.0.9") for _ in range(2)]
    made.turns(lambda: made.connections.client_count == 2)
    third = made.client("127.0.0.9")
    made.turns(lambda: made.connections.rejected == 1)
    assert turned_away(third)
    other = made.client("127.0.0.8")
    made.turns(lambda: made.connections.client_count == 3)
    kept.pop().close()
    made.turns(lambda: made.connections.client_count == 2)
    again = made.client("127.0.0.9")
    made.turns(lambda: made.connections.client_count == 3)
    assert b"200" in made.ask(again)
    assert b"200" in made.ask(other)


def test_in_a_nearly_full_house_answers_say_that_the_connection_closes(house):
    made = house(made=admission(most=2))
    one, two = made.client(), made.client()
    made.turns(lambda: made.connections.client_count == 2)
    assert b"Connection: close" in made.ask(one)
    made.turns(lambda: made.connections.client_count == 1)
    assert b"Connection: close" not in made.ask(two)


def test_tasks_in_hand_go_before_what_waits_at_admission(house):
    made = house()
    crowd = [made.client() for _ in range(200)]
    made.turns(lambda: made.connections.parked_count == 200)
    order = []
    made.server.handle = lambda request: (order.append("served"), made.server.answer(request, 200, (), b""))
    here, there = socket.socketpair()
    made.loop.watch(here.fileno(), 1, lambda events: (order.append("in hand"), here.recv(1)))
    for client in crowd:
        client.sendall(HEAD)
    there.send(b"x")
    made.loop.turn()
    assert order[0] == "in hand"
    assert "served" in order
    made.turns(lambda: order.count("served") == 200)
    made.loop.unwatch(here.fileno())
    here.close(), there.close()


def test_a_request_counts_from_when_it_was_seen_to_wait(house):
    made = house()
    first, second = made.client(), made.client()
    made.turns(lambda: made.connections.parked_count == 2)
    handle = made.server.handle
    made.server.handle = lambda request: (setattr(made, "skew", made.skew + 300 * MILLI), handle(request))
    first.sendall(HEAD)
    second.sendall(HEAD)
    made.turns(lambda: len(made.asked) == 2)
    # The second waited while the first took 300 ms.
    assert made.asked[1].arrived - made.asked[0].arrived < 100 * MILLI


def test_a_descriptor_used_again_in_the_same_turn_does_not_get_the_old_ones_event(house):
    made = house()
    heard = []
    one, other = socket.socketpair()
    two, far = socket.socketpair()

    def first(events):
        fd = two.fileno()
        made.loop.unwatch(fd)
        two.close()  # its event of this turn is still to be handed over
        again = socket.socket()
        assert again.fileno() == fd
        made.loop.watch(fd, 1, lambda events: heard.append("stale"))
        heard.append(again)
        made.loop.unwatch(one.fileno())

    made.loop.watch(one.fileno(), 1, first)
    made.loop.watch(two.fileno(), 1, lambda events: heard.append("two"))
    other.send(b"x"), far.send(b"x")
    made.loop.turn()
    if heard and heard[0] == "two":  # epoll told them the other way round: nothing to show
        pytest.skip("the kernel told the second first")
    assert "stale" not in heard[1:]
    made.loop.unwatch(heard[0].fileno())
    for each in (heard[0], one, other, far):
        each.close()


def test_a_parked_descriptor_closed_and_used_again_keeps_nothing_of_the_old(house):
    made = house(Limits(idle_time=10 * SECOND))
    old = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    fd = next(fd for fd, state in enumerate(made.connections.states) if state)
    made.skew += 8 * SECOND
    old.sendall(HEAD)
    old.close()
    made.turns(lambda: made.connections.client_count == 0)
    new = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    assert made.connections.states[fd]
    assert made.connections.request_counts[fd] == 0
    made.skew += 5 * SECOND  # over the old one's end, not the new one's
    made.loop.run(until=made.loop.sleep(20 * MILLI))
    assert made.connections.client_count == 1
    assert b"200" in made.ask(new)


def test_running_out_of_descriptors_in_accept_rests_and_goes_on(house):
    made = house()
    made.client()
    made.turns(lambda: made.connections.client_count == 1)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    waiting = made.client()
    free = os.dup(0)
    os.close(free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))  # nothing can be opened any more
    try:
        made.turns(lambda: made.server.listener.pauses >= 1)
        assert made.connections.client_count == 1
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    made.turns(lambda: made.connections.client_count == 2)
    assert b"200" in made.ask(waiting)


def test_unfinished_requests_together_are_bounded_and_the_slowest_ends_first(house):
    made = house(Limits(idle_time=60 * SECOND, buffered=5000))
    slow, other, quick = made.client(), made.client(), made.client()
    for client in (slow, other):
        client.sendall(b"POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 4000\r\n\r\n" + b"x" * 2000)
        before = made.server.buffered
        made.turns(lambda before=before: made.server.buffered > before)
    quick.sendall(b"POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 2000\r\n\r\n" + b"x" * 1500)
    made.turns(lambda: made.server.faults == 1)
    assert b"408" in slow.recv(4096)
    assert made.server.buffered <= 5000
    for client, rest in ((quick, 500), (other, 2000)):
        client.sendall(b"x" * rest)
        made.turns(lambda: made.asked)
        assert b"200" in client.recv(4096)
        assert made.asked.pop()
    made.turns(lambda: made.server.buffered == 0)


def test_a_stop_closes_what_is_parked_and_accepts_no_more(house):
    made = house()
    client = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    made.server.stop()
    assert made.connections.client_count == made.connections.parked_count == 0
    assert client.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        made.client()


def test_what_was_sent_before_a_stop_is_answered_and_its_connection_closed(house):
    made = house()
    parked = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    arriving = made.client()  # not yet accepted
    for client in (parked, arriving):
        client.sendall(HEAD)
    made.server.stop()
    made.turns(lambda: len(made.asked) == 2)
    for client in (parked, arriving):
        answer = client.recv(4096)
        assert b"200" in answer
        assert b"Connection: close" in answer
        assert client.recv(1) == b""
        client.close()
    made.turns(lambda: made.connections.client_count == 0)


def test_all_who_have_spoken_before_a_stop_are_answered_though_one_look_tells_of_few(house, monkeypatch):
    monkeypatch.setattr(accepted, "MAX_PARKED_EVENTS", 1)
    made = house()
    clients = [made.client() for _ in range(3)]
    made.turns(lambda: made.connections.parked_count == 3)
    for client in clients:
        client.sendall(HEAD)
    made.server.stop()
    made.turns(lambda: len(made.asked) == 3)
    assert all(b"200" in client.recv(4096) for client in clients)


def test_a_client_that_resets_while_it_waits_at_admission_harms_nobody(house):
    made = house()
    gone, stays = made.client(), made.client()
    made.turns(lambda: made.connections.parked_count == 2)
    gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    gone.sendall(HEAD)
    gone.close()
    assert b"200" in made.ask(stays)
    made.turns(lambda: made.connections.client_count == 1)


def test_an_address_whose_last_connection_makes_room_for_itself_is_counted_on():
    loop = Loop()
    connections = AcceptedConnections(loop, Admission(1, 10, 1000, Chance(1)))
    first = connections.admit("a", True)

    def displace():
        connections.release(first, True)
        return True

    connections._evict_one = displace
    place = connections.admit("a", True)
    connections.release(place, True)
    assert connections.client_count == 0
    assert not connections.addresses
    loop.close()
