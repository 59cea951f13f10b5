"""The load tool: scripts, open-loop arrival, storms, slow clients, results that later reports read."""

import json
import subprocess
import sys

import pytest

from gaproute.config import ConfigurationError
from gaproute.http1 import Server
from gaproute.load import (
    LoadGenerator,
    LoadResult,
    ResultFileError,
    read_load_script,
    read_result,
    summary_rows,
)
from gaproute.load.results import TrafficResult, write_result
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address

MILLI, SECOND = 1_000_000, 1_000_000_000


class AnsweringServer:
    """A server that answers after a delay that the test may change, or never."""

    def __init__(self, loop):
        self.loop, self.delay, self.asked, self.most = loop, 0, 0, 0
        self.server = Server(loop, parse_address("127.0.0.1:0"), self.handle)

    def handle(self, request):
        self.asked += 1
        self.most = max(self.most, self.server.connection_count)
        if self.delay is not None:
            headers = ((b"Gaproute-Outcome", b"delivered"),)
            self.loop.call_later(self.delay, self.server.answer, request, 200, headers, b"ok")


@pytest.fixture
def answers():
    server = AnsweringServer(Loop())
    yield server
    server.server.close()
    server.loop.close()


def played(answers, text, seed=1):
    load = read_load_script("load", f"target {answers.server.address}\n{text}")
    generator = LoadGenerator(answers.loop, load, seed)
    answers.loop.run(until=answers.loop.spawn(generator.play()).done)
    return generator


def test_arrivals_keep_their_rate_and_each_ends_once(answers):
    generator = played(answers, "length 500ms\nhold 20 over 10ms\ntraffic a rate 400 path /x,/y body 100")
    result = generator.results["a"]
    assert (
        sum(result.outcomes.values())
        == generator.counts["asked"]
        == answers.asked
        == result.outcomes["delivered"]
    )
    assert 120 < answers.asked < 300
    assert result.latencies.get_total_count() == answers.asked
    assert sum(result.ended_per_second) == answers.asked


def test_a_stall_is_not_hidden_by_the_connections_that_wait_for_it(answers):
    answers.delay = 400 * MILLI
    generator = played(answers, "length 500ms\nhold 2 over 10ms\ntraffic a rate 200 path /x patience 1s")
    # Two connections carry 5 requests a second of the 200 that arrive: the others wait, and that counts.
    assert generator.results["a"].summary()["p50"] > 700


def test_closed_loop_pauses_between_requests_and_pipelines(answers):
    generator = played(answers, "length 400ms\nhold 10 over 10ms\ntraffic a think 20ms path /x pipeline 3")
    assert answers.asked > 60
    assert answers.asked % 3 == 0
    assert generator.results["a"].outcomes == {"delivered": answers.asked}


def test_a_storm_resets_a_share_that_reconnects_with_a_request(answers):
    generator = played(
        answers,
        "length 600ms\nhold 40 over 10ms again 50ms\ntraffic a rate 20 path /x\n"
        "storm at 200ms share 0.5 back 100ms",
    )
    after = generator.results["a after a storm"]
    assert sum(after.outcomes.values()) == 20
    assert generator.counts["connected"] == 60
    assert generator.counts["storms"] == 1


def test_unanswered_requests_are_overdue_and_those_without_a_connection_never_sent(answers):
    answers.delay = None
    generator = played(
        answers, "length 300ms\nhold 3 over 10ms again 5s\ntraffic a rate 100 path /x patience 150ms"
    )
    outcomes = generator.results["a"].outcomes
    assert outcomes["overdue"] == 3
    assert outcomes["never sent"] > 5
    assert "delivered" not in outcomes


@pytest.mark.parametrize("what", ["head", "body", "read", "silent"])
def test_slow_clients_hold_connections_and_finish_nothing(answers, what):
    generator = played(
        answers, f"length 300ms\nhold 2 over 10ms\nslow 5 what {what} every 20ms\ntraffic a rate 50 path /x"
    )
    assert answers.most >= 5
    assert generator.results["a"].outcomes["delivered"] == generator.counts["asked"]


def test_silent_connections_are_held_and_come_from_many_addresses(answers):
    seen = set()
    accept_connection = answers.server.accept_connection
    answers.server.accept_connection = lambda sock, source: (
        seen.add(source[0]),
        accept_connection(sock, source),
    )
    generator = played(answers, "length 100ms\nhold 30 over 10ms addresses 10")
    assert generator.counts["connected"] == 30
    assert seen == {f"127.1.0.{number}" for number in range(1, 11)}


def test_the_same_seed_draws_the_same_requests(answers):
    def paths(seed):
        load = read_load_script("l", "target 127.0.0.1:1\ntraffic a rate 1 path /x,/y,/z")
        generator = LoadGenerator(answers.loop, load, seed)
        return [generator.requests.draw(load.traffic[0]) for _ in range(20)]

    assert paths(3) == paths(3) != paths(4)


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ("traffic a rate 1 think 1s path /x", "either a rate or a time to think"),
        ("hold none", "hold"),
        ("traffic a path /x", "either"),
        ("storm share 2 at 1s", "share"),
        ("trafic a rate 1 path /x", "did you mean traffic"),
        ("traffic a rate 1 path /x\ntraffic a rate 2 path /x", "second time"),
    ],
)
def test_a_wrong_script_is_refused_with_line_and_cure(line, text):
    with pytest.raises(ConfigurationError, match=text):
        read_load_script("l", f"target 127.0.0.1:1\n{line}\n")


def test_a_script_without_a_target_is_refused():
    with pytest.raises(ConfigurationError, match="no target"):
        read_load_script("l", "hold 5")


def test_a_result_is_read_again_and_one_that_is_none_is_refused(tmp_path):
    result = TrafficResult()
    for took in range(1, 101):
        result.record("delivered", took * MILLI, 0)
    result.record("declined", 5 * MILLI, 3)
    load = read_load_script("l", "target 127.0.0.1:1")
    write_result(tmp_path / "r", LoadResult(load.text, 7, {"asked": 101}, {"a": result}))
    script, seed, counts, results = read_result(tmp_path / "r")
    assert (script, seed, counts) == ("target 127.0.0.1:1", 7, {"asked": 101})
    assert results["a"].summary() == result.summary()
    assert results["a"].ended_per_second == [100, 0, 0, 1]
    (row,) = summary_rows([tmp_path / "r"])
    assert row["not well"] == {"declined": 1}
    assert 49 < row["p50"] < 51
    assert row["well"] == 100
    for text in ("{}", "no json", '{"version": 9}'):
        (tmp_path / "bad").write_text(text)
        with pytest.raises(ResultFileError):
            read_result(tmp_path / "bad")


def test_the_command_plays_a_script_and_reports(rig, tmp_path):
    gateway = rig(hosts=2)
    script, out = tmp_path / "s", tmp_path / "o"
    script.write_text(
        f"target 127.0.0.1:{gateway.at[1][1]}\nlength 500ms\nhold 5 over 10ms\n"
        "traffic lamps rate 30 path /v2/models/lamp/infer body 200\n"
    )
    child = subprocess.Popen(
        [sys.executable, "-m", "gaproute", "load", str(script), "--json", "--out", str(out)],
        stdout=subprocess.PIPE,
    )
    gateway.until(lambda: child.poll() is not None, 20)
    printed = json.loads(child.stdout.read())
    child.stdout.close()
    assert child.returncode == 0
    assert printed["traffic"][0]["well"] == printed["counts"]["asked"] > 3
    report = subprocess.run(
        [sys.executable, "-m", "gaproute", "load-report", str(out), "--json"], capture_output=True
    )
    assert json.loads(report.stdout)[0]["well"] == printed["traffic"][0]["well"]
