"""A gateway and its host list on loopback sockets: draining hosts, restarted hosts, and invalid lists."""

import socket

from gateway_answers import outcome
from helpers import MILLI


def test_a_draining_host_gets_neither_requests_nor_load_orders_and_its_idle_connections_are_closed(rig):
    testbed = rig(hosts=2)
    testbed.wait(testbed.ask("lamp", "a"))
    lines = testbed.list.read_text().splitlines()
    testbed.relist(lines[0] + " state draining", lines[1])
    testbed.until(lambda: testbed.gate.endpoints["h0"].listed.state.value != "active")
    reported_at = testbed.loop.now()
    for number in range(30):
        assert outcome(testbed.wait(testbed.ask("lamp", f"b{number}"))) == "delivered"
    assert not [
        event
        for event in testbed.taps[0].events
        if event["at"] > reported_at and event["what"] in ("task", "order")
    ]
    assert not testbed.gate.hosts.hosts["h0"].idle_connections


def test_an_attempt_that_waits_for_its_connection_is_not_sent_once_the_host_drains(rig):
    testbed = rig(hosts=1)
    with (
        socket.socket() as full_listener
    ):  # its backlog is full: new connections to it neither succeed nor fail
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        line = "host slow {}:{} rack r0".format(*full_listener.getsockname())
        testbed.relist(line)
        testbed.until(lambda: "slow" in testbed.gate.endpoints)
        answer_promise = testbed.ask("crew", "w")
        testbed.until(lambda: testbed.gate.hosts.hosts["slow"].connecting_exchanges)
        started_at = testbed.loop.now()
        testbed.relist(line + " state draining")
        answer = testbed.wait(answer_promise)
        assert outcome(answer) == "declined"
        assert testbed.loop.now() - started_at < 200 * MILLI
        for filler in fillers:
            filler.close()


def test_an_invalid_host_list_is_rejected_as_a_whole_and_the_last_list_stays_in_force(rig):
    testbed = rig(hosts=2)
    valid_list = testbed.list.read_text()
    testbed.relist("host h0 nowhere", *valid_list.splitlines()[1:])
    testbed.until(lambda: any(what == "host_list_rejected" for what, _ in testbed.gate.record.events))
    assert set(testbed.gate.endpoints) == {"h0", "h1"}
    assert outcome(testbed.wait(testbed.ask())) == "delivered"


def test_a_changed_line_with_the_same_start_time_keeps_the_start_of_the_host(rig):
    testbed = rig(hosts=1)
    line = testbed.list.read_text().strip()
    testbed.relist(f"{line} started 1000.5")
    testbed.until(lambda: testbed.gate.endpoints["h0"].listed.started is not None)
    first_started = testbed.gate.endpoints["h0"].listed.started
    testbed.relist(f"{line} started 1000.5 zone other")
    testbed.until(lambda: testbed.gate.endpoints["h0"].listed.zone != 0)
    assert testbed.gate.endpoints["h0"].listed.started == first_started
