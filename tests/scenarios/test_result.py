"""The result of a day leaves out nothing that a client waited for, and no violation that rests on no time."""

from types import SimpleNamespace

import pytest

from gaproute.cluster.gateways import ClusterGateways
from gaproute.cluster.harness import ClusterHarness
from gaproute.cluster.lateness import Lateness
from gaproute.cluster.script import read_script
from gaproute.cluster.verdict import ClusterVerdict
from gaproute.judge import Violation, ViolationKind
from gaproute.loop import Loop
from gaproute.scenarios.result import DayResult
from gaproute.scenarios.trial import Trial

MILLI, SECOND = 1_000_000, 1_000_000_000


def answered(name, at=100 * MILLI, first=None):
    return {
        "at": at,
        "what": "answer",
        "id": name,
        "first": first or name,
        "track": "fault-check",
        "gateway": 0,
        "asked": 0,
        "patience": SECOND,
        "outcome": "delivered",
        "status": 200,
    }


def result(folder, *events, processes=1, codes=None):
    """The result of a day of `short-day`'s script on which the clients saw this."""
    for tap in ("run.tap", "store.tap"):
        (folder / tap).write_text("")
    trial = SimpleNamespace(
        script=read_script("short-day"),
        out=folder,
        hosts=SimpleNamespace(by_name={}),
        clients=SimpleNamespace(processes=[None] * processes, events=lambda: list(events)),
        gateways=SimpleNamespace(exit_codes=codes or {0: 0}),
        harness_lateness=lambda: 0,
        longest_deadline=4 * SECOND,
    )
    return DayResult(trial)


DONE = {"at": SECOND, "what": "done", "late": 0}


def test_a_day_whose_clients_ended_before_their_requests_is_not_well(tmp_path):
    assert result(tmp_path, answered("a"), DONE).well
    cut_short = result(tmp_path, answered("a"))
    assert not cut_short.well
    assert cut_short.plain()["clients_unfinished"] == 1
    assert not result(tmp_path, answered("a"), DONE, processes=2).well


def test_a_request_that_found_no_gateway_was_not_served(tmp_path):
    unreachable = {
        "at": 0,
        "what": "unreachable",
        "id": "b",
        "first": "b",
        "track": "fault-check",
        "asked": 0,
        "tries": 0,
    }
    assert result(tmp_path, answered("a"), DONE).service == 1.0
    assert result(tmp_path, answered("a"), unreachable, DONE).service == 0.5
    assert result(tmp_path, answered("b", at=200 * MILLI), unreachable, DONE).service == 1.0  # a retry was


def test_a_late_answer_counts_as_none(tmp_path):
    late = answered("b", at=1010 * MILLI) | {"what": "answered late", "due": SECOND}
    played = result(tmp_path, answered("a"), late, DONE)
    assert played.service == 0.5
    assert played.outcomes("fault-check")["overdue"] == 1
    assert played.outcomes("fault-check")["delivered"] == 1
    assert [violation.kind for violation in played.broken] == [ViolationKind.LOST]


@pytest.mark.parametrize(
    ("kind", "verdict"),
    [
        (ViolationKind.DUPLICATE, "failed"),
        (ViolationKind.UNMATCHED_ANSWER, "failed"),
        (ViolationKind.LOST, "void"),
    ],
)
def test_a_harness_that_ran_late_hides_no_violation_that_rests_on_no_time(kind, verdict):
    made = ClusterVerdict.__new__(ClusterVerdict)
    made.complete, made.void, made.failures = True, ["a wire ran late"], ["x"]
    made.broken = [Violation(1, 0, "x", kind)]
    assert made.verdict == verdict


def test_a_harness_allows_the_lateness_that_it_measured():
    longest = Lateness(parent=400.0, clients=3.5, hosts=12.25, links=7.0)
    harness = SimpleNamespace(lateness=SimpleNamespace(longest=lambda: longest))
    assert ClusterHarness.harness_lateness(harness) == 12_250_000
    assert Trial.harness_lateness(None) == 0


class EndingProcess:
    """A gateway's process that ends some time after a SIGTERM, or never; `signals`: which it got when."""

    def __init__(self, loop, after):
        self.loop, self.signals = loop, []
        self.end = None if after is None else loop.now() + after
        self.child = SimpleNamespace(poll=self.poll)

    def poll(self):
        return 0 if self.end is not None and self.loop.now() >= self.end else None

    def signal(self, number):
        self.signals.append((number.name, self.loop.now()))


@pytest.mark.parametrize(
    ("after", "noted", "signals"),
    [(60 * MILLI, "ended", ["SIGTERM"]), (None, "killed", ["SIGTERM", "SIGKILL"])],
)
def test_a_gateway_that_has_not_ended_is_killed_as_soon_as_the_operators_may(after, noted, signals):
    loop, events, failures = Loop(), [], []

    def wait_for_exit(processes, span):
        end = loop.now() + span
        while processes[0].child.poll() is None and loop.now() < end:
            yield loop.sleep(5 * MILLI)

    process = EndingProcess(loop, after)
    gateways = SimpleNamespace(
        tap=SimpleNamespace(note=lambda what, **details: events.append(what)),
        record=SimpleNamespace(failures=failures),
        trial=SimpleNamespace(processes=SimpleNamespace(wait_for_exit=wait_for_exit), kill_after=200 * MILLI),
    )
    loop.run(until=loop.spawn(ClusterGateways.end(gateways, 0, process)).done)
    assert events == ["ending", noted]
    assert [name for name, _ in process.signals] == signals
    assert bool(failures) == (noted == "killed")
    if noted == "killed":
        assert 200 * MILLI <= process.signals[1][1] - process.signals[0][1] < 400 * MILLI
    loop.close()


def test_a_trial_s_gateways_have_as_long_to_end_as_the_operators_give_them(tmp_path):
    trial = Trial(read_script("short-day"), tmp_path)
    assert trial.termination_time() == trial.kill_after == 3700 * MILLI  # limits of 4 s count as 3 s
