"""The starter of the harness's processes: a wrong clock under an unchanged program, and no life after the
parent's.
"""

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from gaproute.cluster.child import die_with_parent, skew_clocks, skewed_clock

ASK = """
import time
from gaproute.loop import Loop
from gaproute.appliance import Appliance
from time import monotonic_ns
print(time.time_ns(), Loop().now(), monotonic_ns(), time.monotonic(), time.time())
"""


def run(tmp_path, *options, text=ASK):
    (tmp_path / "asked_module.py").write_text(text)
    here = str(Path(__file__).parents[2])
    command = [sys.executable, "-m", "gaproute.cluster.child", *options, "--", "asked_module", "--word"]
    done = subprocess.run(
        command,
        env={**os.environ, "PYTHONPATH": f"{tmp_path}:{here}"},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.split()


def test_a_wrong_clock_runs_at_its_rate_from_the_start_on():
    true = iter((1000, 2000, 3000))
    clock = skewed_clock(lambda: next(true), 1000, rate=1.5, offset=7)
    assert [clock(), clock(), clock()] == [1007, 2507, 4007]
    halves = skewed_clock(lambda: 4.0, 2.0, rate=0.5, offset=0.25)
    assert halves() == 3.25


def test_a_rate_that_is_none_is_refused():
    for rate in (0, -1, 100, float("nan")):
        with pytest.raises(ValueError, match="a clock's rate is above 0"):
            skew_clocks(rate=rate, offset=0)


def test_the_unchanged_program_sees_the_wrong_clock_by_whatever_name(tmp_path):
    hour = 3600 * 1_000_000_000
    before, wall = time.monotonic_ns(), time.time_ns()
    wall_ns, loop, named, seconds, wall_seconds = map(float, run(tmp_path, "--offset-ms", "3600000"))
    after, wall_after = time.monotonic_ns(), time.time_ns()
    for clock in (loop, named, seconds * 1e9):
        assert before + hour - 1e6 <= clock <= after + hour + 1e6
    for clock in (wall_ns, wall_seconds * 1e9):
        assert wall + hour - 1e6 <= clock <= wall_after + hour + 1e6


def test_without_options_nothing_is_replaced(tmp_path):
    text = "import sys, time\nprint(time.time.__module__, *sys.argv[1:])"
    assert run(tmp_path, text=text) == ["time", "--word"]


def test_a_parent_that_has_ended_already_is_noticed():
    reading, writing = os.pipe()
    child = os.fork()
    if not child:
        try:
            die_with_parent(1 << 30)
        except ProcessLookupError:
            os.write(writing, b"gone")
        os._exit(0)
    os.waitpid(child, 0)
    os.close(writing)
    assert os.read(reading, 9) == b"gone"
    os.close(reading)


def test_it_does_not_outlive_its_parent(tmp_path):
    """The parent starts it, passes on a pipe, and is killed: the child ends with the pipe."""
    (tmp_path / "asked_module.py").write_text("print('up', flush=True)\nimport signal\nsignal.pause()")
    parent = """
import os, subprocess, sys
subprocess.Popen([sys.executable, "-m", "gaproute.cluster.child", "--parent-death",
                  "--parent", str(os.getpid()),
                  "--", "asked_module"]).wait()
"""
    here = str(Path(__file__).parents[2])
    process = subprocess.Popen(
        [sys.executable, "-c", parent],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": f"{tmp_path}:{here}"},
    )
    assert process.stdout.readline() == b"up\n"
    process.kill()
    process.wait()
    assert process.stdout.read() == b""  # ends only when the child, which holds it too, is no more
    process.stdout.close()
