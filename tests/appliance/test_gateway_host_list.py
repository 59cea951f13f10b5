"""A gateway and its host list on loopback sockets: hosts that drain, restart, or are listed wrongly."""

import socket

from gateway_answers import outcome
from helpers import MILLI


def test_a_draining_host_gets_neither_task_nor_order_though_its_connections_are_kept(rig):
    made = rig(hosts=2)
    made.wait(made.ask("lamp", "a"))
    rows = made.list.read_text().splitlines()
    made.relist(rows[0] + " state draining", rows[1])
    made.until(lambda: made.gate.rows["h0"].listed.state.value != "active")
    reported_at = made.loop.now()
    for number in range(30):
        assert outcome(made.wait(made.ask("lamp", f"b{number}"))) == "delivered"
    assert not [
        event
        for event in made.taps[0].events
        if event["at"] > reported_at and event["what"] in ("task", "order")
    ]
    assert not made.gate.hosts.hosts["h0"].idle_connections


def test_a_relay_that_waits_for_its_connection_is_not_sent_once_the_host_drains(rig):
    made = rig(hosts=1)
    with socket.socket() as full:  # its backlog is full: connections to it neither come about nor fail
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        row = "host slow {}:{} rack r0".format(*full.getsockname())
        made.relist(row)
        made.until(lambda: "slow" in made.gate.rows)
        asked = made.ask("crew", "w")
        made.until(lambda: made.gate.hosts.hosts["slow"].connecting_exchanges)
        begun = made.loop.now()
        made.relist(row + " state draining")
        answer = made.wait(asked)
        assert outcome(answer) == "declined"
        assert made.loop.now() - begun < 200 * MILLI
        for filler in fillers:
            filler.close()


def test_a_wrong_host_list_is_refused_whole_and_the_old_one_stays(rig):
    made = rig(hosts=2)
    good = made.list.read_text()
    made.relist("host h0 nowhere", *good.splitlines()[1:])
    made.until(lambda: any(what == "host_list_rejected" for what, _ in made.gate.record.events))
    assert set(made.gate.rows) == {"h0", "h1"}
    assert outcome(made.wait(made.ask())) == "delivered"


def test_a_host_that_restarts_at_its_address_is_cold_once(rig):
    made = rig(hosts=1)
    row = made.list.read_text().strip()
    made.relist(f"{row} started 1000.5")
    made.until(lambda: made.gate.rows["h0"].listed.started is not None)
    first = made.gate.rows["h0"].listed.started
    made.relist(f"{row} started 1000.5 zone other")
    made.until(lambda: made.gate.rows["h0"].listed.zone != 0)
    assert made.gate.rows["h0"].listed.started == first
