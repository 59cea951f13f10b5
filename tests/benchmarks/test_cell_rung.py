"""A rung of gateways that go by cells, tiny: which figures it takes, and of which gateways."""

import gc
import sys
from types import SimpleNamespace

import pytest

from benchmarks.scale import cell_rung, cell_work, rung
from benchmarks.scale.base_rung import Growth
from benchmarks.scale.cell_rung import CellRung
from benchmarks.scale.limits import LimitReachedError, Limits
from benchmarks.scale.plain_rung import PlainRung
from benchmarks.scale.reachable_memory import reachable_bytes

SIZE, FULL, HOSTS = 66, 1, 4
SPAN = 2  # simulated seconds of a counting


@pytest.fixture(scope="module")
def played():
    """A rung after its spans, its newcomer and its change; a death takes longer than the rest together."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(cell_rung, "SETTLE", 3)
        patch.setattr(cell_rung, "CALM", SPAN)
        patch.setattr(CellRung, "measure_death", lambda self: None)
        made = CellRung(SIZE, 1, Limits(4_000, 60), full_cells=FULL, hosts=HOSTS)
        made.play()
        yield made
        made.fleet.close()


def test_only_gateways_played_in_full_are_counted(played):
    figures = played.figures
    assert figures["full_gateways"] == SIZE // 2
    assert figures["membership_entries"] == SIZE // 2 - 1
    assert figures["hosts_entries"] == 2 * HOSTS  # of the own cell, listed and held
    assert 0 < figures["table_only_bytes_per_s"] < figures["bytes_per_s"] / 10


def test_bytes_are_those_of_all_parts(played):
    figures = played.figures
    parts = [figures[f"{part}_bytes_per_s"] for part in ("membership", "tables", "demand")]
    assert figures["bytes_per_s"] == pytest.approx(sum(parts))
    assert figures["busiest_bytes_per_s"] >= figures["bytes_per_s"]


def test_the_table_costs_more_where_it_changes(played):
    assert played.figures["day_tables_bytes_per_s"] > 2 * played.figures["tables_bytes_per_s"]
    assert played.changes == 2  # one within the span, and the one that is waited for


def test_a_gateways_own_cpu_and_memory_are_shown(played):
    figures = played.figures
    assert 0 < figures["cpu_percent"] <= figures["busiest_cpu_percent"] < 20
    assert 0.1 < figures["memory_mb"] <= figures["memory_most_mb"] < 10
    assert figures["resident_mb"] > 0


def test_garbage_of_before_is_not_taken_from_the_fleets_memory():
    gc.disable()
    garbage = [bytearray(1 << 20) for _ in range(64)]
    garbage.append(garbage)
    del garbage
    made = CellRung(SIZE, 1, Limits(4096, 60), full_cells=FULL, hosts=HOSTS)
    gc.enable()
    assert made.resident_megabytes() * SIZE > -8  # MB


def test_times_are_shown(played):
    figures = played.figures
    assert 0 < figures["change_known_s"] < 5
    assert 0 < figures["newcomer_table_s"] <= figures["newcomer_hosts_s"] <= figures["newcomer_known_s"]


def test_a_limit_ends_the_rung_with_what_it_had():
    made = CellRung(SIZE, 1, Limits(1, 60), full_cells=FULL, hosts=HOSTS)
    with pytest.raises(LimitReachedError, match="memory: "):
        made.play()
    assert made.figures["simulated_s"] > 0
    assert "bytes_per_s" not in made.figures
    made.fleet.close()


@pytest.mark.parametrize(("cells", "kind", "hosts"), [(3, CellRung, 256), (None, PlainRung, 240)])
def test_the_command_line_chooses_the_kind_of_rung(cells, kind, hosts):
    arguments = SimpleNamespace(
        size=99, seed=1, memory=100, seconds=1, parts="hosts", hosts=None, cells=cells
    )
    made = rung.make_rung(arguments)
    assert type(made) is kind
    assert made.hosts == hosts


def test_growth_is_of_the_named_gateways_alone():
    before = {"one": {"a.bytes": 10, "b.bytes": 0, "b.messages": 1}, "other": {"a.bytes": 0}}
    after = {"one": {"a.bytes": 30, "b.bytes": 4, "b.messages": 3}, "other": {"a.bytes": 999}}
    growth = Growth(before, after, ["one"], 2)
    assert growth.rates(("a", "b")) == {"a_bytes_per_s": 10, "b_messages_per_s": 1, "b_bytes_per_s": 2}
    assert growth.bytes_sent() == (12, 12)


class Holder:
    def __init__(self, *held):
        self.held = held


def test_memory_held_is_counted_once_and_without_what_is_shared():
    data, shared = bytes(100_000), bytes(1_000_000)
    once, twice = reachable_bytes(Holder(data)), reachable_bytes(Holder(data, data))
    assert sys.getsizeof(data) < once < twice < once + 100
    assert reachable_bytes(Holder(data, shared), [shared]) == twice


def test_memory_held_by_a_closure_or_a_bound_method_is_counted():
    data = bytes(100_000)
    for holder in (lambda: data, Holder(data).__init__, [data].append):
        assert 100_000 < reachable_bytes(holder) < 101_000
    assert reachable_bytes(Holder) == reachable_bytes(sys) == 0


def test_calls_of_functions_are_counted_alike_in_each_play(monkeypatch):
    monkeypatch.setattr(cell_work, "SETTLE", 1.2)
    monkeypatch.setattr(cell_work, "CHANGES", 1)
    first, second = (cell_work.work(33, 1, hosts=4) for _ in range(2))
    assert (first.rest_calls, first.day_calls) == (second.rest_calls, second.day_calls)
    assert 1_000 < first.rest_calls < first.day_calls
    assert 0 < first.rest_cpu < 100
    assert 0 < first.day_cpu < 100
    assert sys.getprofile() is None
