"""Stand-in clients of the platform on one loop, before gateways that the test plays."""

import base64
import json
import socket

import pytest
from helpers import makers

from gaproute.loop.addresses import parse_address
from gaproute.standins.platform.clients import PlatformClients, PlatformLoad
from gaproute.standins.platform.scripted import ScriptedServer
from gaproute.standins.platform.traffic import PlatformTraffic
from gaproute.standins.traffic import ClientRequestClass
from tests.standins.test_platform_host import MILLI, MODEL, SECOND, Bench


@pytest.fixture
def bench():
    for make in makers(Bench):
        yield make()


class Gate(ScriptedServer):
    """A gateway that answers as the test says."""

    def __init__(self, loop, answer):
        super().__init__(loop)
        self.answer, self.up = answer, True

    def receive(self, stream, buffer):
        while b"\r\n\r\n" in buffer:
            head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
            size = int(head.split(b":")[1])
            request, buffer[:] = json.loads(rest[:size]), rest[size:]
            if request["method"] == "ping":
                self.reply(stream, request, {"result": {"up": self.up}})
            else:
                self.came.append(request)
                self.answer(self, stream, request)

    def reply(self, stream, request, answer):
        body = json.dumps({"jsonrpc": "2.0", "id": request["id"]} | answer).encode()
        stream.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))


def served(gate, stream, request):
    name = f"h {request['params']['i']}"
    gate.reply(stream, request, {"result": {"arg": arg_of(name)}})


def arg_of(text):
    return base64.b64encode(text.encode()).decode()


def day(bench, answers, length=200 * MILLI, limit=SECOND, **habits):
    gates = [Gate(bench.loop, answer) for answer in answers]
    bench.closing += [gate.close for gate in gates]
    load = PlatformLoad(
        gateways=[gate.address for gate in gates],
        models=[MODEL],
        classes=[ClientRequestClass("p", 1.0, limit)],
        traffic=PlatformTraffic(**{"rate": 200.0, "impatient": 0.0} | habits),
        seed=7,
        length=length,
    )
    made = PlatformClients(bench.loop, load, bench.tap, bench.said.append)
    return made, gates


def test_clients_share_their_traffic_by_weight_and_each_id_is_new(bench):
    made, gates = day(bench, [served, served], weights=(1.0, 0.0))
    bench.until(lambda: bench.seen("done"))
    names = [request["params"]["i"] for request in gates[0].came]
    assert len(names) > 10
    assert len(set(names)) == len(names)
    assert not gates[1].came
    assert {event["outcome"] for event in bench.seen("answer")} == {"delivered"}
    assert not bench.seen("stray")
    assert gates[0].came[0]["params"]["extras"] == "memory_mb:512;lanes:2;load_ms:10"


def test_a_rejection_is_retried_under_a_new_id_after_its_time(bench):
    def declined_first(gate, stream, request):
        if len(gate.came) > 1:
            served(gate, stream, request)
        else:
            gate.reply(stream, request, {"error": {"code": -32008, "message": "full", "data": {"w": 40}}})

    made, _ = day(bench, [declined_first], length=1)
    bench.until(lambda: bench.seen("done"))
    first, second = bench.seen("answer")
    assert (first["outcome"], second["outcome"]) == ("declined", "delivered")
    assert first["id"] == second["first"] != second["id"]
    assert second["asked"] - first["at"] >= 40 * MILLI


def test_what_gateways_do_wrong_is_written_down(bench):
    def twice(gate, stream, request):
        served(gate, stream, request)
        served(gate, stream, request)

    def unmatched(gate, stream, request):
        gate.reply(stream, request, {"result": {"arg": arg_of("h other")}})

    for answer in (twice, unmatched):
        before = len(bench.seen("done"))
        day(bench, [answer], length=1)
        bench.until(lambda before=before: len(bench.seen("done")) > before)
        bench.rest(10 * MILLI)
    assert [
        "an answer under" in event["text"] or "no host made" in event["text"] for event in bench.seen("stray")
    ] == [True, True]


def test_a_client_gives_up_at_its_limit_and_aborts_the_call(bench):
    aborted = []

    def mute(gate, stream, request):
        if request["method"] == "abort":
            aborted.append(request["params"]["id"])

    made, gates = day(bench, [mute], length=1, limit=60 * MILLI)
    bench.until(lambda: bench.seen("overdue") and aborted)
    assert aborted == [gates[0].came[0]["id"]]


def test_a_dead_gateway_is_left_out_and_taken_in_again(bench, monkeypatch):
    monkeypatch.setattr("gaproute.standins.platform.pooled_gateway.DEATH_NOTICE", (0.05, 0.06))
    made, gates = day(bench, [served, served], length=900 * MILLI)
    bench.until(lambda: made.until)
    gates[1].close()
    bench.until(lambda: bench.seen("out", gateway=1))
    assert bench.seen("refused")
    gates.append(Gate(bench.loop, served))
    bench.closing.append(gates[2].close)
    made.pool.gateways[1].where = parse_address(gates[2].address)  # the same place, another port
    bench.until(lambda: len(bench.seen("in", gateway=1)) == 2 and gates[2].came)
    assert {event["outcome"] for event in bench.seen("answer")} == {"delivered"}


def test_a_gateway_to_be_restarted_gets_nothing_more_after_a_while(bench):
    made, gates = day(bench, [served, served], length=1100 * MILLI)
    bench.until(lambda: made.until)
    gates[1].up = False
    made.command({"do": "leaving", "gateway": 1})
    began = bench.loop.now()
    bench.until(lambda: bench.seen("out", gateway=1))
    assert bench.loop.now() - began >= 400 * MILLI
    bench.rest(50 * MILLI)  # for what had been sent by then
    asked = len(gates[1].came)
    bench.until(lambda: bench.seen("done"))
    assert len(gates[1].came) == asked > 0
    assert len(bench.seen("in", gateway=1)) == 1


def test_a_request_that_crosses_a_close_is_sent_once_more(bench):
    def closes_first(gate, stream, request):
        if len(gate.came) == 1:
            stream.abort()
        else:
            served(gate, stream, request)

    _, gates = day(bench, [closes_first], length=1)
    bench.until(lambda: bench.seen("done"))
    first, second = gates[0].came
    assert len(bench.seen("answer")) == 1
    assert first["params"]["i"] == second["params"]["i"]

    def closes_always(gate, stream, request):
        stream.abort()

    def closes_late(gate, stream, request):
        bench.loop.call_later(80 * MILLI, stream.abort)

    for days, (answer, tries) in enumerate([(closes_always, 2), (closes_late, 1)], start=2):
        _, gates = day(bench, [answer], length=1)
        bench.until(lambda days=days: len(bench.seen("done")) == days)
        assert len(gates[0].came) == tries
        assert len(bench.seen("broken")) == days - 1


def closes(gate, stream, request):
    """Reads the request and closes: the client sees the end of the connection and no reset."""
    stream.close()


def test_the_first_request_of_a_connection_is_lost_when_it_was_read_and_closed(bench):
    _, gates = day(bench, [closes], length=1)
    bench.until(lambda: bench.seen("done"))
    assert len(gates[0].came) == 1
    assert len(bench.seen("broken")) == 1


def test_a_request_on_a_connection_that_rested_may_cross_its_close_once(bench):
    def closes_second(gate, stream, request):
        if len(gate.came) == 2:
            stream.sock.shutdown(socket.SHUT_WR)
        else:
            served(gate, stream, request)

    made, gates = day(bench, [closes_second], length=1)
    bench.until(lambda: bench.seen("answer"))
    links = list(made.pool.gateways[0].connections)
    assert [link.answered for link in links] == [True]
    made.start_request()
    bench.until(lambda: len(bench.seen("answer")) == 2)
    assert len(gates[0].came) == 3
    assert not bench.seen("broken")


def test_a_request_that_finds_no_gateway_is_noted_with_its_class_and_time(bench):
    made, _ = day(bench, [served], length=1)
    bench.until(lambda: made.until)
    made.pool.gateways[0].is_in = False
    made.start_request()
    (noted,) = bench.seen("unreachable")
    assert noted["first"] == noted["id"]
    assert noted["track"] == "p"
    assert noted["asked"] > 0
