"""Crossings between the gateway and its hosts: what is still owed when a dial, a list or a client ends."""

import errno
import json
import socket

import pytest
from scripted import MILLI, SECOND, SETTINGS, Handed, HeldDials, nothing

from gaproute.decisions.connections.pooling import MAX_RETIRED_IDS
from gaproute.discovery.changelog import events
from gaproute.hosts.jsonlines import connection as connections
from gaproute.interface import Idempotency, Result
from gaproute.interface.call import Call
from gaproute.standins.platform import arg, event

KEYED = {
    "name": "plan",
    "effect": "guarded",
    "group": "all",
    "dedup_window": 700.0,
    "aim": 500.0,
    "deadline": 3000.0,
}


def settings(*, cancel=True, **options):
    return (
        SETTINGS
        | {
            "lanes": [*SETTINGS["lanes"], KEYED],
            "limits": SETTINGS["limits"] | {"cancel": cancel, "connect_timeout": 1000.0},
        }
        | options
    )


@pytest.fixture
def slow(gate, monkeypatch):
    """A gateway on a held clock whose dials come up when the test lets them; only tasks are counted."""

    def make(*args, cancel=True, probes=False, **options):
        dials = HeldDials()
        monkeypatch.setattr(connections, "connect", dials)
        limits = SETTINGS["limits"] | {"cancel": cancel, "probes": probes, "connect_timeout": 1000.0}
        made = gate(*args, clock=Handed(), settings=settings() | {"limits": limits}, **options)
        made.dials = dials
        return made

    return make


def asked(made, *args, **options):
    """A client that has asked, its task in hand and its dial under way."""
    client, before = made.client(), made.dials.waiting
    client.ask(*args, **options)
    made.until(lambda: made.dials.waiting > before)
    return client


def test_where_no_cancel_is_allowed_a_dial_that_outlasts_its_client_begins_nothing(slow):
    made = slow(cancel=False)
    client = asked(made, 1)
    client.stream.abort()
    made.until(lambda: not made.process.core.in_flight)
    made.dials.let()
    made.turns()
    assert not made.came()
    assert not made.process.core.generators


def test_nothing_begins_after_the_final_answer_however_late_its_dial_comes_up(slow):
    made = slow(cancel=False)
    client = asked(made, 1, "repair-order")
    made.passes(3 * SECOND)
    made.until(lambda: client.answers)
    made.dials.let()
    made.turns()
    assert "error" in client.answers[0]
    assert not made.came()
    assert not made.process.core.in_flight


def test_the_limit_sent_to_a_host_is_what_is_left_when_the_request_is_written(slow):
    made = slow()
    asked(made, 1, d=2000)
    made.passes(900 * MILLI)
    made.dials.let()
    made.until(made.came)
    assert 1000 <= made.hosts[0].seen("go")[0]["meta"]["limit"] <= 1100


def test_a_repeat_whose_window_ends_while_it_dials_is_not_sent(slow):
    """The first attempt may have run: after 700 ms no host knows it for a repeat any more."""
    made = slow(lambda stream, command: stream.abort(), hosts=2)
    client = asked(made, 1, "plan")
    made.dials.let()
    made.until(lambda: made.came() == 1 and made.dials.waiting == 1)
    made.passes(800 * MILLI)
    made.dials.let()
    made.until(lambda: client.answers)
    made.turns()
    assert made.came() == 1
    assert "error" in client.answers[0]


def test_what_the_full_socket_has_taken_no_byte_of_never_begins_once_its_client_left(gate, monkeypatch):
    """One connection serves all, its host reads nothing: the last request waits here, not in a buffer."""
    made = gate(hosts=1, settings=settings(cancel=False), clock=Handed())
    made.process.host_client.max_connections = 1
    first = made.client()
    first.ask(1)
    made.until(lambda: first.answers)
    (link,) = made.process.host_client.hosts["s-0"].connections
    link.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for stream in made.hosts[0].streams:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        stream.pause()
    clients = []
    for _ in range(10):
        clients.append(made.client())
        for number in range(1, 9):
            clients[-1].ask(number, i=f"{len(clients):08x}{number:08x}", arg=arg(b"x" * 16000))
        made.turns(5)
    waits = [each.id for each in link.pending.values() if not each.started]
    assert waits
    for client in clients:
        client.stream.abort()
    made.until(lambda: not made.process.front.active_connections or not made.process.front.open_request_ids)
    for stream in made.hosts[0].streams:
        stream.resume()
    made.turns(200)
    assert not {command["req"] for command in made.hosts[0].came} & set(waits)


@pytest.mark.parametrize("change", ["address", "start"])
def test_a_host_back_under_its_id_is_not_sent_to_on_connections_of_its_life_before(gate, change):
    made = gate(hosts=2)
    known, name = made.process.host_client.hosts, "s-0"
    made.until(lambda: any(link.answered for link in known[name].connections))  # a probe's
    old = next(iter(known[name].connections))
    old.pending["x"] = connections.PendingRequest(old, "x", None, 0, None, 0)  # still at work there
    old.pending["x"].end_offset = 0
    where = made.hosts[1 if change == "address" else 0].address
    watch_event = event(2, (name, where, "Ready"))
    if change == "start":
        watch_event["fleet"]["members"][0]["up_since_ms"] = 1_700_000_000_000
    made.process.host_list.apply(events.decode_initial_events({"seq": 2, "results": [watch_event]})[1][0])
    assert old in known[name].connections
    assert not old.reusable
    old.on_bytes(b'{"type":"served","req":"x","data":""}\n')
    assert old not in known[name].connections


@pytest.mark.parametrize("first", [("crashed", {}), ("served", {"data": "?"})])
def test_a_second_answer_to_a_failed_attempt_is_not_taken_for_the_next_ones(gate, first):
    """The host answers 'crashed', or what cannot be read, and once the task came again 'served' for the first
    of the two."""
    came = []

    def answer(stream, command):
        if command["type"] == "go":
            came.append((stream, command))
            if len(came) == 1:
                made.hosts[0].reply(stream, command, first[0], **first[1])
            else:
                made.hosts[0].reply(came[0][0], command, "served", data=arg(b"stale"))
                made.hosts[0].serve(stream, command)

    made = gate(answer)
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    assert came[0][0] is not came[1][0]
    assert client.answers[0]["result"]["arg"] == arg(b"body 1")
    assert made.process.host_client.unmatched == 1


def test_an_answer_before_its_request_has_gone_out_is_no_answer(slow):
    made = slow(nothing)
    asked(made, 1)
    made.dials.let()
    made.until(made.came)
    (link,) = made.process.host_client.hosts["s-0"].connections
    link.pending["y"] = connections.PendingRequest(
        link, "y", None, 0, lambda *_: pytest.fail("taken for an answer"), 0
    )
    link.on_bytes(b'{"type":"served","req":"y","data":""}\n')
    assert made.process.host_client.unmatched == 1
    assert len(link.pending) == 2


def test_a_dial_for_which_there_is_no_descriptor_is_not_held_against_the_host(slow):
    made = slow()
    client = asked(made, 1)
    for entry in list(made.dials.held):
        entry[3](None, OSError(errno.EMFILE, "too many open files"))
    made.turns()
    host = made.process.core.gateway.hosts_by_id["s-0"]
    assert not host.bad_results
    assert not made.came()
    made.passes(4 * SECOND)
    made.until(lambda: client.answers)


def test_with_no_room_for_one_more_connection_a_request_is_not_sent_and_no_descriptor_is_taken(slow):
    made, heard = slow(hosts=2), []
    hosts, end = made.process.host_client, made.loop.now() + SECOND
    hosts.max_connections = 1
    for host in ("s-0", "s-1"):
        call = Call("7f3a9c21e0b4d655", "", (), b"", f"{host:>16}", "fault-check")
        hosts.send(host, call, Idempotency.IDEMPOTENT, host, end, end, heard.append)
    made.turns()
    assert made.dials.waiting == 1
    assert [each.result for each in heard] == [Result.NOT_SENT]


@pytest.mark.parametrize("cancel", [True, False])
def test_a_halt_is_said_only_where_the_settings_allow_cancels(gate, cancel):
    made = gate(nothing, clock=Handed(), settings=settings(cancel=cancel))
    client = made.client()
    client.ask(1)
    made.until(made.came)
    (other,) = [
        each for each in made.process.host_client.hosts["s-0"].connections if f"{1:016x}" in each.pending
    ]
    other.pending["z"] = connections.PendingRequest(
        other, "z", None, 0, None, made.loop.now() + 9 * SECOND
    )  # keeps it in use
    client.message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 1}})
    made.turns()
    made.passes(3 * SECOND)
    assert bool(made.hosts[0].seen("halt")) is cancel
    assert not made.process.core.in_flight


def test_a_connection_that_carried_many_failures_takes_no_further_request(gate):
    """Ids that may be answered once more are remembered; a long life must not hold them all."""
    made = gate(lambda stream, command: made.hosts[0].reply(stream, command, "crashed"))
    for number in range(MAX_RETIRED_IDS + 3):
        client = made.client()
        client.ask(1, "repair-order", i=f"{number:016x}")
        made.until(lambda client=client: client.answers)
    held = [
        len(link.retired_ids) for host in made.process.host_client.hosts.values() for link in host.connections
    ]
    assert max(held) <= MAX_RETIRED_IDS
    assert len(made.hosts[0].seen("go")) == MAX_RETIRED_IDS + 3


def test_before_the_process_is_ended_what_it_holds_is_answered_as_its_class_allows(gate):
    made = gate(nothing, clock=Handed(), settings=settings())
    client = made.client()
    client.ask(1)
    client.ask(2, "repair-order")
    made.until(lambda: made.came() == 2)
    made.process.core.end_by(made.loop.now() + SECOND)
    made.passes(SECOND)
    made.until(lambda: len(client.answers) == 2)
    codes = {each["id"]: each["error"]["code"] for each in client.answers}
    assert codes == {1: -32008, 2: -32000}, json.dumps(codes)


def test_the_key_by_which_hosts_know_a_repeat_passes_unchanged(gate):
    made = gate(settings=settings())
    client = made.client()
    client.ask(1, "plan", k="00ff" * 8)
    client.ask(2)
    made.until(lambda: len(client.answers) == 2)
    assert {each["req"][-1]: each["meta"].get("nonce") for each in made.hosts[0].seen("go")} == {
        "1": "00ff" * 8,
        "2": None,
    }


def test_the_results_of_a_removed_hosts_last_attempts_are_not_retained_for_ever(gate):
    made = gate(nothing, hosts=2, clock=Handed())
    client = made.client()
    client.ask(1, "repair-order")
    made.until(made.came)
    name = "s-0" if made.hosts[0].seen("go") else "s-1"
    (other,) = [each for each in made.process.host_client.hosts if each != name]
    where = made.process.host_client.hosts[other].address_text
    watch_event = event(2, (other, where, "Ready"), complete=True)
    made.process.host_list.apply(events.decode_initial_events({"seq": 2, "results": [watch_event]})[1][0])
    for host in made.hosts:
        for stream in host.streams:
            stream.abort()
    made.until(lambda: client.answers)
    for _ in range(3):
        made.passes(SECOND)
    assert name not in made.process.host_client.hosts
    assert not any(name in key for key in made.process.record.counts)


def test_probes_and_orders_wear_no_connection_out(gate):
    """Their ids never come again, so none of them needs to be remembered."""
    made = gate()
    made.until(lambda: any(link.answered for link in made.process.host_client.hosts["s-0"].connections))
    done = []
    made.process.host_client.order("s-0", "m", 1, lambda *result: done.append(result))
    made.until(lambda: done)
    assert made.hosts[0].seen("stat")
    assert not any(link.retired_ids for link in made.process.host_client.hosts["s-0"].connections)
