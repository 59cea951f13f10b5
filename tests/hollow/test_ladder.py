"""The ladder of rungs: its predictions, its limits, what it leaves when it is killed."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from benchmarks.scale import climbing, ladder
from benchmarks.scale.ladder_table import ladder as ladder_table
from benchmarks.scale.limits import LimitReachedError, Limits
from benchmarks.scale.prediction import errors, predict

ROOT = Path(__file__).parents[2]


def test_a_prediction_is_made_from_three_smaller_rungs_and_its_error_is_shown():
    rungs = [(size, {"entries": 2.0 * size, "bytes": 300.0}) for size in (10, 20, 40)]
    assert predict(rungs[:2], 40) == {}
    predicted = predict(rungs, 80)
    assert predicted["entries"]["value"] == pytest.approx(160)
    assert predicted["bytes"]["value"] == pytest.approx(300)
    assert errors(predicted, {"entries": 200, "bytes": 300, "more": 1}) == {"entries": -20.0, "bytes": 0.0}


def test_a_figure_that_was_never_reached_is_not_fitted():
    rungs = [(size, {"known_s": None if size == 40 else 5.0}) for size in (10, 20, 40, 80)]
    assert predict(rungs, 160)["known_s"]["value"] == pytest.approx(5)
    assert errors(predict(rungs, 160), {"known_s": None}) == {}


@pytest.mark.parametrize(
    ("limits", "memory", "processes", "why"),
    [
        (Limits(100, 60), 101, 1, "memory: 101 MB in use"),
        (Limits(100, 60, 300), 5, 301, "processes: 301"),
        (Limits(100, -1), 5, 1, "time: "),
    ],
)
def test_a_limit_that_is_reached_is_named(limits, memory, processes, why):
    with pytest.raises(LimitReachedError, match=why):
        limits.check(memory, processes)


def test_a_rung_that_reaches_its_limit_stops_the_ladder(capsys):
    arguments = SimpleNamespace(rungs="12,24", seed=1, parts="membership", hosts=5, cells=None)
    saved = []
    ladder.climb(arguments, Limits(1, 60), lambda rungs, stopped: saved.append((len(rungs), stopped)))
    assert len(saved) == 1
    assert saved[0][0] == 1
    assert saved[0][1].startswith("at 12 gateways: memory: ")
    assert "12 gateways, stopped: memory" in capsys.readouterr().out


def test_a_ladder_keeps_all_rungs_so_far_with_its_conditions(tmp_path):
    arguments = SimpleNamespace(seed=2, parts="membership", hosts=None, cells=3)
    file = climbing.LadderFile(tmp_path, "made", Limits(100, 60), ladder.conditions(arguments))
    played = {
        9: climbing.PlayedRung({"known_s": 1.5}),
        18: climbing.PlayedRung({}, "time: over", {"void": [1]}),
    }
    climbing.climb([9, 18, 27], played.get, file.keep)
    saved = json.loads((tmp_path / "ladder-made.json").read_text())
    assert [rung["size"] for rung in saved["rungs"]] == [9, 18]
    assert saved["rungs"][0]["measured"] == {"known_s": 1.5}
    assert saved["rungs"][1]["void"] == [1]
    assert saved["stopped"] == "at 18 gateways: time: over"
    assert (saved["cells"], saved["hosts"], saved["seed"]) == (3, 256, 2)
    assert saved["limits"] == {"memory_mb": 100, "seconds": 60}


def test_a_ladder_goes_on_after_the_complete_rungs_of_an_earlier_one(tmp_path):
    keep = climbing.LadderFile(tmp_path, "made", Limits(100, 60), {}).keep
    played = {size: climbing.PlayedRung({"entries": 2.0 * size}) for size in (10, 20, 40, 160)}
    climbing.climb([10, 20, 40, 80], (played | {80: climbing.PlayedRung({}, "time: over")}).get, keep)
    rungs = climbing.complete_rungs(tmp_path, "made")
    climbing.climb([160], played.get, keep, rungs)
    saved = json.loads((tmp_path / "ladder-made.json").read_text())
    assert [rung["size"] for rung in saved["rungs"]] == [10, 20, 40, 160]
    assert saved["stopped"] == ""
    assert saved["rungs"][3]["predicted"]["entries"]["value"] == pytest.approx(320)


def test_a_table_of_cells_has_predictions_beside_results(tmp_path):
    bytes_by_size = {250: 100, 500: 110, 1_000: 120, 4_000: 132}
    keep = climbing.LadderFile(tmp_path / "ladders", "made", Limits(100, 60), {"cells": 3}).keep
    play = lambda size: climbing.PlayedRung({"bytes_per_s": bytes_by_size[size]})  # noqa: E731
    climbing.climb(bytes_by_size, play, keep)
    _, _, row = ladder_table(["made"], tmp_path)
    assert row == "| bytes a second in all, no change | 100 | 110 | 120 | 132 (144, +9%) | +10.0% |"


def children(pid):
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def gone(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True


def wait_for(holds, seconds=15):
    end = time.monotonic() + seconds
    while not holds() and time.monotonic() < end:
        time.sleep(0.05)
    return holds()


SAVED_ELSEWHERE = """\
import pathlib, sys
from benchmarks.scale import ladder
ladder.LADDERS = pathlib.Path(sys.argv.pop(1))
ladder.main()
"""


def test_a_killed_ladder_leaves_no_process(tmp_path):
    command = [sys.executable, "-c", SAVED_ELSEWHERE, tmp_path, "--rungs", "400", "--seconds", "60"]
    started = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        assert wait_for(lambda: children(started.pid))
        (rung,) = children(started.pid)
        time.sleep(1)  # until it has asked the kernel to end with its parent
        assert not gone(rung)
    finally:
        started.send_signal(signal.SIGKILL)
        started.wait()
    assert wait_for(lambda: gone(rung))
    assert list(tmp_path.iterdir()) == []
