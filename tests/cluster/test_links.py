"""The wire on loopback: bytes, ends, resets and datagrams of seats through one listener, and faults on
their way.

All in one process on a clock that leaps, but for the last ones, which start the wire as the harness does.
"""

import gc
import json
import random
import socket
import subprocess
import sys
import time

import pytest

from gaproute.cluster.addresses import between, of
from gaproute.cluster.links.__main__ import LinkEmulator
from gaproute.cluster.links.faults import MILLI
from gaproute.cluster.links.invariants import breaches
from gaproute.cluster.links.lateness import LinkLateness
from gaproute.cluster.links.stream_end import CHUNK, HIGH, StreamEnd
from gaproute.cluster.links.streams import StreamRelay
from gaproute.loop import Loop, Stepped

A, H, DEAD, NOBODY = 16, 17, 18, 19


class Patient(Stepped):
    """A clock that leaps, but not before the kernel had a millisecond to bring what is on its way."""

    def poll(self, epoll, span):
        ready = epoll.poll(0) or epoll.poll(0.001)
        self.now += 0 if ready else max(0, span)
        return ready


class LinkFixture:
    """A wire with a gateway `A`, a host `H`, a host that has no address and one where nobody listens."""

    def __init__(self):
        self.loop = Loop(Patient(10**9))
        self.host = socket.create_server(("127.0.0.1", 0))
        self.udp = {seat: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for seat in (A, H)}
        self.open = [self.host, *self.udp.values()]
        for sock in self.udp.values():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # a burst finds room
            sock.bind(("127.0.0.1", 0))
        with socket.create_server(("127.0.0.1", 0)) as gone:
            nobody = at(gone)
        self.seats = {
            "16": {"name": "g0", "kind": "gateway", "udp": at(self.udp[A])},
            "17": {"name": "h0", "kind": "host", "tcp": at(self.host), "udp": at(self.udp[H])},
            "18": {"name": "h1", "kind": "host"},
            "19": {"name": "h2", "kind": "host", "tcp": nobody},
        }
        self.wire = LinkEmulator(self.loop, {"tcp": 0, "udp": 0, "seed": 5, "seats": self.seats})
        self.loop.on_error = self.fail
        self.tcp, self.udp_port = (
            int(sock.getsockname()[1]) for sock in (self.wire.streams.listener.sock, self.wire.datagrams.sock)
        )
        for sock in self.open:
            sock.setblocking(False)

    def fail(self, error):
        raise SystemExit(f"a callback failed: {error!r}")

    def tell(self, **line):
        answer = self.wire.follow(json.dumps(line))
        self.wire.settle()
        return answer

    def turns(self, count=10):
        for _ in range(count):
            self.loop.turn()

    def run(self, span):
        """Until the clock has gone on by `span` ns."""
        end = self.loop.now() + span
        while self.loop.now() < end:
            self.loop.turn()
        assert not breaches(self.wire)

    def got(self, sock):
        """What comes next at `sock`, within five seconds of true time; `taken` does not wait."""
        return self.wait(lambda: taken(sock))

    def wait(self, found):
        """Turns until `found()` is something, which is returned; None if nothing comes."""
        end = time.monotonic() + 5
        while (value := found()) is None and time.monotonic() < end:
            self.loop.turn()
        return value

    def accepted(self):
        def accept():
            try:
                return self.host.accept()
            except BlockingIOError:
                return None

        far, caller = self.wait(accept)
        far.setblocking(False)
        self.open.append(far)
        return far, caller

    def call(self, seat=H):
        sock = socket.create_connection((between(A, seat), self.tcp), timeout=5)
        sock.setblocking(False)
        self.open.append(sock)
        return sock

    def try_to(self, seat, caller=A):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((between(caller, seat), self.tcp))
        self.open.append(sock)
        return sock

    def opens(self, sock):
        return self.wait(lambda: opened(sock) or None)

    def joined(self):
        """A connection of `A` with `H`, both ends, and the address that `H` sees."""
        near = self.call()
        far, caller = self.accepted()
        self.turns(1)
        return near, far, caller[0]

    def close(self):
        self.wire.close()
        self.loop.close()
        for sock in self.open:
            sock.close()


def at(sock):
    return "{}:{}".format(*sock.getsockname())


def taken(sock, size=1 << 20):
    """What is there: bytes, b"" at the end, the name of an error, None while there is nothing."""
    try:
        return sock.recv(size)
    except BlockingIOError:
        return None
    except OSError as fault:
        return type(fault).__name__


def opened(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) == b"\1"  # ESTABLISHED


def heard(sock):
    try:
        return sock.recvfrom(99)
    except BlockingIOError:
        return None


@pytest.fixture
def party():
    made = LinkFixture()
    yield made
    made.close()


def test_bytes_go_both_ways_and_each_end_of_sending_alone(party):
    near, far, caller = party.joined()
    assert of(caller) == (H, A), "the host sees who called"
    near.send(b"ask"), far.send(b"early")
    assert party.got(far) == b"ask" and party.got(near) == b"early"
    near.shutdown(socket.SHUT_WR)
    assert party.got(far) == b"" and taken(near) is None
    far.send(b"answer")
    far.close()
    assert party.got(near) == b"answer" and party.got(near) == b"" and not party.wire.streams.relays
    assert party.wire.counts()["bytes"] == 14 and not breaches(party.wire)


@pytest.mark.parametrize("end", [0, 1])
def test_a_reset_is_passed_on_as_a_reset(party, end):
    ends = party.joined()[:2]
    ends[end].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    ends[end].close()
    assert party.got(ends[1 - end]) == "ConnectionResetError" and not party.wire.streams.relays


def test_an_answer_before_a_reset_still_comes(party):
    near, far, _ = party.joined()
    near.send(b"a long request")
    party.turns()
    far.send(b"no")
    far.close()  # with bytes unread: the kernel resets
    near.send(b"more of it")  # the wire finds out by its write, and reads what came before
    assert party.got(near) == b"no" and party.got(near) == "ConnectionResetError"
    assert not party.wire.streams.relays


def test_refused_is_a_reset(party):
    near = party.call(NOBODY)
    assert party.got(near) == "ConnectionResetError" and party.wire.counts()["refused"] >= 1


def test_a_seat_that_refuses_does_so_before_a_byte_is_taken(party):
    if not party.wire.streams.refusals.can:
        pytest.skip("needs CAP_NET_RAW")
    told = party.seats["19"] | {"refuses": True}
    party.tell(seat={str(NOBODY): told})
    near, others = party.try_to(NOBODY), party.try_to(H)
    assert party.got(near) == "ConnectionRefusedError"
    assert party.opens(others) and party.wire.counts()["refused"] >= 1
    party.tell(fault="x", on={"kind": "cut"})
    cut = party.try_to(NOBODY)
    party.run(100 * MILLI)
    assert taken(cut) is None, "no refusal comes through a cut"
    party.tell(fault="x", off=True)
    party.tell(seat={str(NOBODY): party.seats["17"] | {"name": "h2"}})
    assert party.wire.streams.refusals.sock is None and party.opens(party.try_to(NOBODY))


def test_what_cannot_open_does_not_until_it_can(party):
    """The caller's kernel tries again a second later; until then its connect has proved nothing."""
    party.tell(fault="x", on={"kind": "cut", "from": ["h0"], "to": ["g0"]})
    cut, dead, fine = party.try_to(H), party.try_to(DEAD), party.try_to(NOBODY)
    assert party.opens(fine) and not opened(cut) and not opened(dead)
    party.tell(fault="x", off=True)
    party.tell(seat={str(DEAD): party.seats["17"] | {"name": "h1"}})
    assert all(party.opens(sock) for sock in (party.try_to(H), party.try_to(DEAD), cut))


def test_the_gate_stops_whom_the_weather_stops(party):
    """The filter in the kernel against the decision, for all pairs, with numbers apart and together."""
    for n in (*range(20, 30), 40, 41, 63, 64, 255, 256, 4000):
        party.tell(seat={n: party.seats["19"] | {"name": f"n{n}", "zone": f"z{n % 3}"}})
    party.tell(fault="x", on={"kind": "cut", "from": ["zone:z0"], "to": ["zone:z1", "g0", "n4000"]})
    party.tell(fault="y", on={"kind": "cut", "from": ["n256", "n40"], "to": ["*"], "what": "datagrams"})
    party.tell(fault="z", on={"kind": "cut", "from": ["n64"], "to": ["not:zone:z2"]})
    weather = party.wire.weather
    pairs = {(a, b): party.try_to(b, a) for a in weather.seats for b in weather.seats}
    may = {(a, b) for a, b in pairs if weather.seats[b].tcp is not None and weather.opens(a, b)}
    end, open_now = time.monotonic() + 5, set()
    while open_now != may and time.monotonic() < end:
        open_now = {pair for pair, sock in pairs.items() if opened(sock)}  # the wire takes none meanwhile
    assert open_now == may and 100 < len(pairs) - len(may) < 300


def test_a_held_connection_opens_at_the_release_or_is_forgotten(party):
    party.tell(fault="x", on={"kind": "hold", "from": ["h0"]})
    waits, gave_up = party.call(), party.call()
    waits.send(b"ask")
    gave_up.close()
    party.run(200 * MILLI)
    assert taken(waits) is None and party.wire.counts()["hanging"] == 1 == party.wire.counts()["given_up"]
    party.tell(fault="x", off=True)
    far = party.accepted()[0]
    assert party.got(far) == b"ask"
    with pytest.raises(BlockingIOError):
        party.host.accept()


def test_a_slow_reader_holds_the_writer_back(party):
    near, far, _ = party.joined()
    block, sent = random.Random(1).randbytes(1 << 16), 0
    for _ in range(400):
        try:
            sent += near.send(block[sent % len(block) :])
        except BlockingIOError:
            pass
        party.turns(2)
        way = party.wire.streams.relays[1].near
        assert way.queued + way.other.waiting <= HIGH + CHUNK
    assert way.paused and way.other.waiting and sent < 400 * len(block)
    came = bytearray()
    near.shutdown(socket.SHUT_WR)
    while data := party.got(far):
        came += data
    assert len(came) == sent and came == (block * 400)[:sent] and not breaches(party.wire)


def test_delay_is_as_long_as_told_both_ways_and_for_opening(party):
    party.tell(fault="x", on={"kind": "delay", "delay_ms": 30, "both": True, "from": ["g0"], "to": ["hosts"]})
    start, near = party.loop.now(), party.call()
    near.send(b"ask")
    far = party.accepted()[0]
    assert party.loop.now() - start == 60 * MILLI
    assert party.got(far) == b"ask"
    assert party.loop.now() - start == 90 * MILLI
    far.send(b"answer")
    far.close()
    assert party.got(near) == b"answer"
    assert party.loop.now() - start == 120 * MILLI
    assert party.got(near) == b""


def test_a_one_way_cut_keeps_bytes_and_end_and_heals_in_order(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "cut", "from": ["g0"], "to": ["h0"]})
    for word in (b"one ", b"two ", b"three"):
        near.send(word)
        party.turns(3)
    far.send(b"still")
    near.shutdown(socket.SHUT_WR)
    party.run(500 * MILLI)
    assert taken(far) is None and taken(near) == b"still"
    party.tell(fault="x", off=True)
    assert party.got(far) == b"one two three" and party.got(far) == b""
    assert party.wire.counts()["late_most_ns"] == 0, "kept back is not late"


def test_a_reset_does_not_get_through_a_cut_either(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "cut", "both": True, "from": ["g0"], "to": ["h0"]})
    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    near.close()
    far.send(b"to nobody")
    party.run(500 * MILLI)
    assert taken(far) is None
    party.tell(fault="x", off=True)
    assert party.got(far) == "ConnectionResetError" and not party.wire.streams.relays


def test_a_cut_also_stops_what_is_under_way(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"slow")
    party.run(50 * MILLI)
    party.tell(fault="y", on={"kind": "cut"})
    party.run(500 * MILLI)
    assert taken(far) is None
    party.tell(fault="y", off=True)
    assert party.got(far) == b"slow"


def test_what_comes_when_a_fault_has_ended_stays_behind_what_it_kept(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"slow ")
    party.run(50 * MILLI)
    party.tell(fault="x", off=True)
    near.send(b"fast")
    came = party.got(far)
    assert came + (party.got(far) if len(came) < 9 else b"") == b"slow fast"
    party.tell(fault="y", on={"kind": "cut"})
    near.send(b"kept ")
    party.run(50 * MILLI)
    party.wire.follow('{"fault": "y", "off": true}')  # bytes come in the same turn, before it is followed
    party.wire.streams.relays[1].near._arrived(b"new")
    assert party.got(far) == b"kept new"


def test_the_fault_reset_breaks_both_ends_of_those_that_stand(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "reset", "from": ["hosts"], "to": ["gateways"]})
    assert party.got(near) == party.got(far) == "ConnectionResetError"
    near, far, _ = party.joined()
    near.send(b"new")
    assert party.got(far) == b"new"


def test_datagrams_answer_to_their_source_and_vanish_in_a_cut(party):
    party.udp[A].sendto(b"ask", (between(A, H), party.udp_port))
    data, source = party.wait(lambda: heard(party.udp[H]))
    assert data == b"ask" and source == (between(H, A), party.udp_port)
    party.udp[H].sendto(b"answer", source)
    assert party.wait(lambda: heard(party.udp[A])) == (b"answer", (between(A, H), party.udp_port))
    party.tell(fault="x", on={"kind": "cut", "from": ["g0"], "to": ["h0"]})
    party.udp[A].sendto(b"ask", (between(A, H), party.udp_port))
    party.udp[H].sendto(b"word", source)
    party.udp[A].sendto(b"dead", (between(A, DEAD), party.udp_port))
    party.run(100 * MILLI)
    assert taken(party.udp[H]) is None and party.got(party.udp[A]) == b"word"
    counts = party.wire.counts()
    assert (counts["messages"], counts["stray"], counts["weather"]["cut"]) == (4, 1, 1)


def test_a_hold_releases_all_in_one_burst_and_in_order(party):
    party.tell(fault="x", on={"kind": "hold", "to": ["hosts"]})
    for number in range(300):
        party.udp[A].sendto(b"%d" % number, (between(A, H), party.udp_port))
    party.wait(lambda: len(party.wire.datagrams.kept) == 300 or None)
    assert taken(party.udp[H]) is None and party.wire.counts()["kept"] == 300
    party.tell(fault="y", on={"kind": "delay", "delay_ms": 5, "what": "streams"})
    party.turns()
    assert party.wire.counts()["kept"] == 300, "another change lets nothing go"
    at_once = party.loop.now()
    party.tell(fault="x", off=True)
    party.turns(1)
    assert [party.got(party.udp[H]) for _ in range(300)] == [b"%d" % number for number in range(300)]
    assert party.loop.now() == at_once and not breaches(party.wire)


def test_whatever_the_weather_bytes_are_neither_lost_nor_changed(party):
    for seed in range(6):
        chance = random.Random(seed)
        near, far, _ = party.joined()
        whole = chance.randbytes(300_000), chance.randbytes(300_000)
        sent, came, on = [0, 0], [bytearray(), bytearray()], []
        ends = near, far
        while any(len(got) < 300_000 for got in came):
            if chance.random() < 0.1:
                name, kind = f"f{len(on)}", chance.choice(("cut", "hold", "delay", "lose"))
                party.tell(
                    fault=name,
                    on={
                        "kind": kind,
                        "share": 0.5,
                        "delay_ms": 7,
                        "jitter_ms": 20,
                        "from": chance.choice((["g0"], ["h0"], ["*"])),
                    },
                )
                on.append(name)
            if on and chance.random() < 0.15 or len(on) > 4:
                party.tell(fault=on.pop(), off=True)
            side = chance.randrange(2)
            piece = whole[side][sent[side] : sent[side] + chance.randrange(1, 40_000)]
            try:
                sent[side] += ends[side].send(piece) if piece else 0
            except BlockingIOError:
                pass
            party.turns(3)
            got = taken(ends[1 - side], chance.randrange(1, 90_000))
            came[side] += got or b""
            assert not breaches(party.wire)
        assert (bytes(came[0]), bytes(came[1])) == whole
        for name in on:
            party.tell(fault=name, off=True)
        near.close(), far.close()
        party.turns()


def test_a_wire_that_is_late_knows_by_how_much():
    now = [0]
    loop = Loop(lambda: now[0])
    loop.poll = lambda epoll, span: epoll.poll(0)
    late = LinkLateness(loop)
    assert late.take() == 0
    loop.soon(lambda: now.__setitem__(0, now[0] + 30 * MILLI))  # a long turn
    loop.turn(), loop.turn()
    assert late.take() == 30 * MILLI and late.take() == 0
    loop.poll = late._poll
    late.poll = lambda epoll, span: now.__setitem__(0, 400 * MILLI) or []  # starved while it waits for 20
    loop.turn()
    assert late.take() == 350 * MILLI == late.ever
    late.left(390 * MILLI, 800 * MILLI)
    assert late.take() == 410 * MILLI


def test_connections_that_are_over_leave_nothing_to_collect(party):
    gc.collect()
    gc.disable()
    try:
        for how in ("close", "reset", "broken"):
            for _ in range(5):
                near, far, _ = party.joined()
                if how == "reset":
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                near.send(b"x")
                party.got(far) if how == "close" else party.turns(2)
                far.close()
                party.got(near)
                near.close()
        party.wait(lambda: not party.wire.streams.relays or None)
        party.turns(2)
        assert not [one for one in gc.get_objects() if isinstance(one, (StreamEnd, StreamRelay))]
    finally:
        gc.enable()


def test_the_checks_bite(party):
    near, far, _ = party.joined()
    party.tell(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"a")
    party.run(10 * MILLI)
    near.send(b"b")
    party.turns(1)
    way = party.wire.streams.relays[1].near
    way.queue.reverse()
    way.queued += 1
    way.other.waiting += HIGH + CHUNK
    way.timer.cancel()
    way.timer = None
    party.wire.datagrams.kept_bytes = 1 << 30
    party.wire.weather.free["y", 0, "streams"] = 1
    del party.wire.weather.told["x"]
    names = {text.split(":")[0] for text in breaches(party.wire)}
    assert names == {
        "queued_bytes",
        "waiting_bytes",
        "bounded",
        "in_order",
        "never_stuck",
        "kept_bytes",
        "kept_bounded",
        "faults_as_told",
        "pace_without_fault",
    }


def start():
    return subprocess.Popen(
        [sys.executable, "-m", "gaproute.cluster.links"],
        stdin=subprocess.PIPE,
        text=True,
        stdout=subprocess.PIPE,
    )


def test_several_processes_share_the_ports_and_end_with_stdin(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as host, socket.socket() as free:
        free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        free.bind(("127.0.0.1", 0))  # keeps the port for those who share it
        first = {
            "tcp": free.getsockname()[1],
            "udp": free.getsockname()[1],
            "tap": str(tmp_path / "tap"),
            "seats": {"16": {"name": "g0"}, "17": {"name": "h0", "tcp": at(host)}},
        }
        wires = [start(), start()]
        try:
            for wire in wires:
                print(json.dumps(first), file=wire.stdin, flush=True)
                assert json.loads(wire.stdout.readline()) == {"ready": True}
            for _ in range(24):
                with socket.create_connection((between(16, 17), first["tcp"]), timeout=5) as near:
                    far, caller = host.accept()
                    near.sendall(b"x")
                    assert far.recv(9) == b"x" and of(caller[0]) == (17, 16)
                    far.close()
                    assert near.recv(9) == b""
            opened = []
            for wire in wires:
                for line in ("{", '{"fault": "x", "off": true}', "[]", '{"a": 1}', '{"say": true}'):
                    print(line, file=wire.stdin, flush=True)
                said = [json.loads(wire.stdout.readline()) for _ in range(5)]
                assert all("error" in line for line in said[:4]) and said[4]["breaches"] == []
                assert 0 < said[4]["late_most_ns"]
                opened.append(said[4]["opened"])
            assert sum(opened) == 24 and all(opened), "the kernel shares them"
            for wire in wires:
                wire.stdin.close()
                assert wire.wait(10) == 0
            lines = [json.loads(line) for line in (tmp_path / "tap").read_text().splitlines()]
            assert sorted(line["what"] for line in lines) == ["ended"] * 24 + ["opened"] * 24
        finally:
            for wire in wires:
                wire.kill()
                wire.wait()
                wire.stdout.close()


def test_a_first_line_that_cannot_be_followed_ends_it():
    wire = start()
    assert "error" in json.loads(wire.communicate('{"tcp": 0}\n', timeout=20)[0]) and wire.returncode == 2
