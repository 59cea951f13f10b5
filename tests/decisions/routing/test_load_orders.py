"""When hosts are ordered to load."""

from helpers import (
    MILLI,
    Drive,
    gateway,
    task,
)

from gaproute import interface as face
from gaproute.interface import Result


def test_one_open_order_for_a_function():
    made = gateway(load_order_window=0)
    function = made.functions.find_or_add("f", 4)
    made.load_orders.record_sent(0, function)
    assert not made.load_orders.may_order(0, function)
    made.load_order_ended(1, "a", "f", Result.OK, 1)
    assert made.load_orders.may_order(1, function)


def test_a_miss_orders_one_instance_there_and_returns():
    made = gateway()
    drive = Drive(made, task())
    first = drive.sent[0]
    assert face.LoadOrder(first, "f", 1) in drive.hears(MILLI, Result.NOT_LOADED, took=MILLI)
    drive.late(2 * MILLI)
    assert drive.sent == [first, first]
