"""Orders to hosts to load instances."""

from helpers import (
    MILLI,
    Drive,
    task,
)
from helpers import gateway as make_gateway

from gaproute import interface
from gaproute.interface import Result


def test_a_function_has_at_most_one_open_order():
    gateway = make_gateway(load_order_window=0)
    function = gateway.functions.find_or_add("f", 4)
    gateway.load_orders.record_sent(0, function)
    assert not gateway.load_orders.may_order(0, function)
    gateway.load_order_ended(1, "a", "f", Result.OK, 1)
    assert gateway.load_orders.may_order(1, function)


def test_a_miss_orders_one_instance_and_the_request_returns_to_the_host():
    gateway = make_gateway()
    drive = Drive(gateway, task())
    first = drive.sent[0]
    assert interface.LoadOrder(first, "f", 1) in drive.hears(MILLI, Result.NOT_LOADED, took=MILLI)
    drive.late(2 * MILLI)
    assert drive.sent == [first, first]
