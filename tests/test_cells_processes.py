"""Cells by several processes of the program: calls find their copies through the entry gateways."""

from cell_fleet import models

TWO = {"a1": ("a1", ("ga", "gb")), "b1": ("b1", ("gc", "gd"))}


def test_a_call_homed_in_another_cell_reaches_its_copy_through_the_entry_gateway(cells):
    fleet = cells(TWO)
    fleet.write_table()
    for name, zone in (("ga", "a1"), ("gc", "b1"), ("gd", "b1")):
        fleet.start(name, zone)
    fleet.up("ga", "gc", "gd")
    near, far = fleet.homed("check", "a1"), fleet.homed("check", "b1")
    answer = fleet.wait(fleet.ask("ga", near, "t1"))
    assert answer.status == 200 and fleet.came("t1")[0].startswith("a1-")
    answer = fleet.wait(fleet.ask("ga", far, "t2"))
    assert answer.status == 200 and [host[:2] for host in fleet.came("t2")] == ["b1"]
    assert answer.headers[b"gaproute-outcome"] == b"delivered"
    assert fleet.cell_status("ga")["forwarded_out"] == 1
    told = [fleet.cell_status(name) for name in ("gc", "gd")]
    assert sum(each["forwarded_in"] for each in told) == 1
    assert all(each["known"] == ["b1"] and each["cells"] == 2 for each in told)


def test_gateways_that_never_heard_of_each_other_find_the_same_copy(cells):
    fleet = cells(TWO)
    fleet.write_table()
    for name, zone in (("ga", "a1"), ("gb", "a1"), ("gc", "b1"), ("gd", "b1")):
        fleet.start(name, zone)
    fleet.up("ga", "gb", "gc", "gd")
    for model in (model for model in models("check") if fleet.home(model) == "b1"):
        for name in ("ga", "gb"):
            assert fleet.wait(fleet.ask(name, model, f"{name} {model}")).status == 200
        hosts = {host for name in ("ga", "gb") for host in fleet.came(f"{name} {model}")}
        assert len(hosts) == 1 and hosts.pop().startswith("b1-")
