"""The gateways of a day as processes: one that is killed while it starts."""

import signal
import subprocess
import sys
from types import SimpleNamespace

import pytest

from gaproute.loop.loop import Loop
from gaproute.scenarios.errors import GatewayStartError
from gaproute.scenarios.gateways import DayGateways

SECOND = 1_000_000_000
MILLI = 1_000_000


class RunningProcess:
    """A child as the gateways of a day know it."""

    def __init__(self, child):
        self.child = child

    def signal(self, number):
        self.child.send_signal(number)


class SignalRecorder:
    """A process of which only its signals are of interest."""

    def __init__(self, signal):
        self.signal = signal


class ProcessesOfOneProgram:
    """Each start is a child with this program, which never logs that it has started."""

    def __init__(self, program):
        self.program = program

    def start(self, module, settings, errors, reads_output, **options):
        return RunningProcess(subprocess.Popen([sys.executable, "-c", self.program]))


class Tap:
    def __init__(self):
        self.events = []

    def note(self, what, **details):
        self.events.append(what)

    def flush(self):
        pass


def gateways(loop, folder, program):
    day = SimpleNamespace(peers=False, memory=False, gateways=1)
    trial = SimpleNamespace(
        loop=loop,
        tap=Tap(),
        out=folder,
        seed=1,
        models=[],
        decisions="gaproute.decisions.routing:Gateway",
        script=SimpleNamespace(day=day, gateway_lines=[]),
        processes=ProcessesOfOneProgram(program),
    )
    (folder / "g0.log").write_text("")
    return DayGateways(trial)


def ended(loop, routine, within=5 * SECOND):
    """Runs the loop until the routine ends; its error, if any."""
    found = []

    def watch():
        try:
            yield routine.done
            found.append(None)
        except GatewayStartError as error:
            found.append(error)
        loop.stop()

    loop.spawn(watch())
    loop.call_later(within, loop.stop)
    loop.run()
    assert found, "the start did not end"
    return found[0]


def test_a_start_whose_process_is_killed_by_the_day_ends_without_an_error(tmp_path):
    loop = Loop()
    fleet = gateways(loop, tmp_path, "import time; time.sleep(60)")
    start = loop.spawn(fleet.start(0))
    loop.call_later(100 * MILLI, lambda: loop.spawn(fleet.kill_and_restart(0, 600 * SECOND)))
    assert ended(loop, start) is None
    assert fleet.trial.tap.events == ["killed"]
    fleet.processes[0].child.wait()


@pytest.mark.parametrize(
    ("fault", "note", "number"),
    [("kill_and_restart", "killed", signal.SIGKILL), ("pause", "stopped", signal.SIGSTOP)],
)
def test_a_fault_is_noted_before_clients_can_see_it(tmp_path, fault, note, number):
    """A client whose connection ends by a kill that is noted later would be judged as lost by the gateway."""
    fleet = gateways(Loop(), tmp_path, "")
    noted = {}
    fleet.processes[0] = SignalRecorder(lambda sent: noted.setdefault(sent, list(fleet.tap.events)))
    next(getattr(fleet, fault)(0, SECOND))
    assert noted == {number: [note]}


def test_a_process_that_ends_by_itself_has_not_started(tmp_path):
    loop = Loop()
    fleet = gateways(loop, tmp_path, "raise SystemExit(1)")
    with pytest.raises(GatewayStartError, match="g0 did not start"):
        raise ended(loop, loop.spawn(fleet.start(0)))
