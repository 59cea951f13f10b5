"""Costs by size: fits find the curve they were made of, files are whole, counts keep their bounds."""

import json
import math

import pytest

from benchmarks.scale import __main__ as command
from benchmarks.scale.costs import decisions, functions
from benchmarks.scale.fit import fit
from benchmarks.scale.gateways import Caller, CallError, row, rows
from benchmarks.scale.measurement import UNITS, Measurement, MeasurementError, Point, measure
from benchmarks.scale.meters import retained_bytes
from benchmarks.scale.plays import cpu_ms, grown
from gaproute.decisions.routing import ranking

SIZES = (100, 400, 1_600, 6_400, 25_600)
CURVES = {
    "constant": lambda size: 7.0,
    "linear": lambda size: 3.0 + 0.5 * size,
    "power": lambda size: 0.02 * size**1.5,
    "logarithmic": lambda size: 1.0 + 2.0 * math.log2(size),
}


def made(curve, wobble=(1.0, 1.0, 1.0)):
    return measure(
        "made", "of a curve", "ms", "things", SIZES, lambda size, seed: curve(size) * wobble[seed - 1]
    )


@pytest.mark.parametrize("form", CURVES)
def test_a_known_curve_is_found(form):
    found = fit(made(CURVES[form]))
    assert found.form == form
    assert found.residual < 1e-6
    assert found.predict(50_000) == pytest.approx(CURVES[form](50_000))


@pytest.mark.parametrize("form", CURVES)
def test_a_known_curve_is_found_among_plays_that_differ(form):
    assert fit(made(CURVES[form], wobble=(0.8, 1.0, 1.3))).form == form


def test_the_residual_is_that_of_the_points():
    """Values a tenth too high and a tenth too low, in an order that no curve follows."""
    off = (1.1, 0.9, 0.9, 1.1, 0.9, 1.1, 1.1, 0.9)
    points = [Point(2**place, [10.0 * each]) for place, each in enumerate(off)]
    found = fit(Measurement("made", "", "ms", "things", points))
    assert found.form == "constant"
    assert found.residual == pytest.approx(0.1, abs=0.01)


def test_a_prediction_goes_on_from_what_the_largest_size_gave():
    """A cost that turns steeper at the last size must not be predicted as less than was measured there."""
    points = [Point(size, [size * (2.0 if size == SIZES[-1] else 1.0)]) for size in SIZES]
    found = fit(Measurement("made", "", "ms", "things", points))
    assert found.predict(SIZES[-1]) == pytest.approx(2.0 * SIZES[-1])
    assert found.predict(2 * SIZES[-1]) > 2.0 * SIZES[-1]


def test_how_far_a_prediction_is_stretched():
    found = fit(made(CURVES["linear"]))
    assert found.stretch(100) == found.stretch(25_600) == 1.0
    assert found.stretch(256_000) == pytest.approx(10.0)


def test_the_value_is_the_median_of_the_plays_and_the_spread_their_range():
    point = Point(100, [1.0, 2.0, 4.0])
    assert point.value == 2.0
    assert point.spread == pytest.approx(1.5)
    assert Point(100, [0.0, 0.0, 0.0]).spread == 0.0


def test_too_few_sizes_are_refused(tmp_path):
    few = measure("few", "", "ms", "things", SIZES[:3], lambda size, seed: size)
    with pytest.raises(MeasurementError, match="4 sizes are needed, 3 measured"):
        few.save(tmp_path)
    assert not list(tmp_path.iterdir())


def test_an_unknown_unit_is_refused(tmp_path):
    odd = measure("odd", "", "furlongs", "things", SIZES, lambda size, seed: size)
    with pytest.raises(MeasurementError, match="'furlongs' is none of us, ms, "):
        odd.save(tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_file_is_read_as_it_was_written(tmp_path):
    measurement = made(CURVES["power"])
    measurement.save(tmp_path)
    assert Measurement.load("made", tmp_path) == measurement


@pytest.mark.parametrize("content", ["", "[]", '{"name": "made"}', '{"name": 1, "points": [{"size": 1}]}'])
def test_a_file_of_something_else_is_refused(tmp_path, content):
    (tmp_path / "made.json").write_text(content)
    with pytest.raises(MeasurementError, match="made.json"):
        Measurement.load("made", tmp_path)


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(MeasurementError, match="made.json"):
        Measurement.load("made", tmp_path)


def test_sizes_whose_plays_would_take_too_long_are_left_out_and_named(monkeypatch):
    monkeypatch.setattr("benchmarks.scale.plays.LONG_PLAY", 0.0)
    measurement = grown("long", "", "ms", "things", SIZES, lambda size, seed: sum(range(20_000)), "on this")
    assert [point.size for point in measurement.points] == list(SIZES[:4])
    assert measurement.conditions == "on this; not measured as plays grew too long: 25,600"


def test_all_sizes_are_measured_where_plays_are_short():
    measurement = grown("short", "", "ms", "things", SIZES, lambda size, seed: size, "on this")
    assert [point.size for point in measurement.points] == list(SIZES)
    assert all(len(point.plays) == 3 for point in measurement.points)
    assert measurement.conditions == "on this"


def test_memory_held_is_that_of_what_was_made():
    assert retained_bytes(lambda: bytearray(1_000_000)) == pytest.approx(1_000_000, rel=0.02)
    assert retained_bytes(lambda: len(bytearray(1_000_000))) < 10_000


def test_processor_time_is_of_one_repeat():
    counted = []
    assert cpu_ms(lambda: counted.append(1), 5) >= 0
    assert len(counted) == 5


def test_a_call_is_relayed_and_answered_and_leaves_nothing_open():
    caller = Caller(20, 1)
    host = caller.call("f")
    assert caller.call("f") == host  # the copy that was seen to stand
    assert list(caller.gateway.functions_by_name) == ["f"]
    assert not caller.gateway.tracker.in_flight
    assert not any(each.in_flight for each in caller.gateway.hosts_by_id.values())


def test_a_call_that_no_host_can_take_is_no_measurement():
    caller = Caller(3, 1)
    caller.gateway.update_hosts(caller.now, [], complete=True)
    with pytest.raises(CallError):
        caller.call("f")


def test_a_function_is_rare_after_the_mix_is_crowded():
    caller = Caller(100, 1)
    caller.fill_mix()
    caller.call("f")
    assert caller.gateway.function_mix.host_demand("f") < 1


def count_hashes(monkeypatch):
    """The hosts hashed for functions from now on, as a list that grows."""
    counted, hashing = [], ranking.blake2b

    def counting(data, **options):
        counted.append(data)
        return hashing(data, **options)

    monkeypatch.setattr(ranking, "blake2b", counting)
    return counted


def test_a_first_call_hashes_each_host_once_at_most_and_a_later_one_none(monkeypatch):
    for hosts in (50, 200):
        caller, counted = Caller(hosts, 1), count_hashes(monkeypatch)
        caller.call("f")
        assert len(counted) <= hosts
        del counted[:]
        caller.call("f")
        assert not counted


def test_one_changed_line_keeps_the_other_hosts():
    caller = Caller(50, 1)
    before = dict(caller.gateway.hosts_by_id)
    decisions.change(caller, 1.0)
    assert caller.gateway.hosts_by_id == before
    assert caller.gateway.hosts_by_id["host-000000"].capacity == 1.0


def test_a_host_that_leaves_is_forgotten_in_one_round_and_comes_back():
    caller = Caller(50, 1)
    for number in range(20):
        caller.call(f"rare-{number}")
    assert functions._host_leaves(caller, 3) >= 0
    assert sorted(caller.gateway.hosts_by_id) == [each.host for each in rows(50)]
    assert len(caller.gateway.functions_by_name) == 20


def test_every_measurement_is_named_as_it_is_registered(monkeypatch):
    """Names are files' names: each is of small letters, digits and hyphens, and its own measurement's."""
    for name in command.registry():
        assert name
        assert set(name) <= set("abcdefghijklmnopqrstuvwxyz0123456789-")


def test_stored_measurements_are_registered_and_complete():
    for path in sorted(command.MEASURED.glob("*.json")):
        measurement = Measurement.load(path.stem)
        assert measurement.name == path.stem
        assert measurement.name in command.registry(), f"{measurement.name} can no longer be measured"
        assert len(measurement.points) >= 4
        assert all(len(point.plays) >= 3 for point in measurement.points)
        assert measurement.conditions
        assert measurement.meaning
        assert measurement.unit in UNITS


def test_measuring_prints_the_program_measured(tmp_path, monkeypatch, capsys):
    measurement = made(CURVES["linear"])
    monkeypatch.setattr(command, "registry", lambda: {"made": lambda: measurement})
    monkeypatch.setattr(Measurement.save, "__defaults__", (tmp_path,))
    command.measure(["made"], "before the change")
    assert json.loads((tmp_path / "made.json").read_text())["conditions"] == "before the change"
    assert "made: 3 + 0.5 n ms by things" in capsys.readouterr().out


def test_measuring_what_does_not_exist_is_refused():
    with pytest.raises(SystemExit, match="no such measurement: nothing"):
        command.measure(["nothing"], "")


def test_a_label_may_stand_before_the_names(monkeypatch):
    asked = []
    monkeypatch.setattr(command, "measure", lambda *options: asked.append(options))
    monkeypatch.setattr("sys.argv", ["scale", "measure", "--label", "before", "made", "other"])
    command.main()
    assert asked == [(["made", "other"], "before")]


def test_a_cold_host_is_cold_for_the_gateway():
    caller = Caller(10, 1)
    caller.gateway.update_hosts(caller.now, [row(0, started=caller.now)], complete=False)
    assert caller.gateway.hosts.all_warm_at > caller.now
    assert caller.gateway.hosts_by_id["host-000000"].warm_at == caller.gateway.hosts.all_warm_at
