"""Several gateway processes in a fleet of cells: requests reach warm instances through entry gateways."""

import signal

from cell_fleet import models

TWO_CELLS = {"a1": ("a1", ("ga", "gb")), "b1": ("b1", ("gc", "gd"))}


def test_a_request_with_its_home_in_another_cell_reaches_a_host_there_through_an_entry_gateway(cells):
    fleet = cells(TWO_CELLS)
    fleet.write_table()
    for name, zone in (("ga", "a1"), ("gc", "b1"), ("gd", "b1")):
        fleet.start(name, zone)
    fleet.up("ga", "gc", "gd")
    near_model, far_model = fleet.homed("check", "a1"), fleet.homed("check", "b1")
    answer = fleet.wait(fleet.ask("ga", near_model, "t1"))
    assert answer.status == 200
    assert fleet.came("t1")[0].startswith("a1-")
    answer = fleet.wait(fleet.ask("ga", far_model, "t2"))
    assert answer.status == 200
    assert [host[:2] for host in fleet.came("t2")] == ["b1"]
    assert answer.headers[b"gaproute-outcome"] == b"delivered"
    assert fleet.cell_status("ga")["forwarded_out"] == 1
    statuses = [fleet.cell_status(name) for name in ("gc", "gd")]
    assert sum(status["forwarded_in"] for status in statuses) == 1
    assert all(status["known"] == ["b1"] and status["cells"] == 2 for status in statuses)


def test_gateways_without_contact_to_each_other_choose_the_same_host(cells):
    fleet = cells(TWO_CELLS)
    fleet.write_table()
    for name, zone in (("ga", "a1"), ("gb", "a1"), ("gc", "b1"), ("gd", "b1")):
        fleet.start(name, zone)
    fleet.up("ga", "gb", "gc", "gd")
    for model in (model for model in models("check") if fleet.home(model) == "b1"):
        for name in ("ga", "gb"):
            assert fleet.wait(fleet.ask(name, model, f"{name} {model}")).status == 200
        hosts = {host for name in ("ga", "gb") for host in fleet.came(f"{name} {model}")}
        assert len(hosts) == 1
        assert hosts.pop().startswith("b1-")


def test_each_child_of_a_parent_is_an_entry_gateway_and_an_invalid_configuration_changes_nothing(cells):
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", ("gc-0", "gc-1"))})
    peers = f"unix:{fleet.folder}/gc.peers"
    fleet.entries |= {"gc": peers, "gc-0": f"{peers}.0", "gc-1": f"{peers}.1"}
    fleet.clients["gc"] = fleet.clients["gc-0"]
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.start("gc", "b1", arguments=("--processes", "2"))
    fleet.up("ga")
    fleet.until(lambda: len(fleet.events("gc", "cell_table_adopted")) == 2)
    far_models = [model for model in models("order") if fleet.home(model) == "b1"]
    for model in far_models:
        assert fleet.wait(fleet.ask("ga", model, model)).status == 200
        assert fleet.came(model)[0].startswith("b1-")
    configuration = fleet.folder / "gc.conf"
    configuration.write_text(configuration.read_text().replace("zone b1", "zone"))
    fleet.processes["gc"].send_signal(signal.SIGHUP)
    fleet.until(lambda: fleet.events("gc", "configuration_rejected"))
    assert fleet.wait(fleet.ask("ga", far_models[0], "t2")).status == 200
    assert fleet.wait(fleet.ask("gc", fleet.homed("order", "a1"), "t3")).status == 200
    assert fleet.came("t3")[0].startswith("a1-")


def test_every_table_at_the_operators_address_has_an_answer(cells):
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", ())})
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.up("ga")
    assert fleet.wait(fleet.ask("ga", fleet.homed("check", "a1"), "t1")).status == 200
    answers = {
        path: fleet.operator("ga", path)
        for path in ("status", "hosts", "knows", "peers", "permits", "events")
    }
    assert [host["name"] for host in answers["hosts"]] == ["a1-h0", "a1-h1"]
    assert answers["knows"][0]["worker"] == fleet.came("t1")[0]
    assert any(event["what"] == "cell table" and event["version"] == "1.1" for event in answers["events"])
    assert answers["status"]["ready"]
    assert answers["permits"] is None
    assert answers["peers"] == []
