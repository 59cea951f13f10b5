"""The gateway's process under its own configuration, its parent and its files while system calls fail."""

import errno
import io
import os
import pathlib
import select
import signal
import socket
import subprocess

import pytest
from click.testing import CliRunner
from failing import Failing, fault, open_descriptors
from helpers import CONFIGURATION
from scripted import SECOND

from gaproute.appliance import Appliance, child_processes, listening_sockets
from gaproute.appliance.child_process import ChildProcess
from gaproute.appliance.parent import Parent
from gaproute.appliance.rolling_reload import MAX_START_ATTEMPTS
from gaproute.cli import serving
from gaproute.config import ConfigurationError, read_configuration, read_hosts
from gaproute.discovery.file_watch import FAILURES_BEFORE_REPORT, FileWatch
from gaproute.loop import Loop, SteppedClock, listening
from gaproute.loop.starting import StartupRetries
from gaproute.telemetry.logs import logger

MILLI = 1_000_000
SHORT = [errno.EMFILE, errno.ENFILE, errno.ENOMEM]


class Log:
    """Keeps what is logged."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda what, **fields: self.lines.append((level, what))


@pytest.fixture
def loop():
    before = open_descriptors()
    made = Loop()
    yield made
    assert not made.watched
    made.close()
    assert open_descriptors() == before


# A child


@pytest.mark.parametrize(
    ("module", "name", "calls"),
    [(os, "pipe2", 0), (os, "pipe2", 1), (subprocess, "Popen", 0), (os, "pidfd_open", 0)],
    ids=["first pipe", "second pipe", "process", "pidfd"],
)
def test_a_child_that_cannot_be_started_leaves_no_descriptor_and_no_process(
    loop, monkeypatch, module, name, calls
):
    begun, popen = [], subprocess.Popen
    monkeypatch.setattr(
        subprocess, "Popen", lambda *args, **options: begun.append(popen(*args, **options)) or begun[-1]
    )
    monkeypatch.setattr(module, name, Failing(getattr(module, name), *[None] * calls, errno.EMFILE))
    before = open_descriptors()
    with pytest.raises(OSError, match=os.strerror(errno.EMFILE)) as raised:
        ChildProcess(loop, ["sleep", "60"], [])
    assert raised.value.errno == errno.EMFILE
    assert open_descriptors() == before
    assert not loop.watched
    assert all(process.returncode is not None for process in begun)


class FakeChild:
    """Stands for a child that serves at once."""

    failing = None

    def __init__(self, loop, command, descriptors):
        from gaproute.loop import Promise

        if FakeChild.failing is not None:
            FakeChild.failing()
        self.started, self.ready, self.ended = loop.now(), Promise(), Promise()
        self.ready.set(True)

    def stop(self):
        self.ended.set(0)


@pytest.fixture
def family(monkeypatch, tmp_path):
    """A parent of two stand-in children on a loop that waits for nothing."""
    monkeypatch.setattr(child_processes, "ChildProcess", FakeChild)
    monkeypatch.setattr(FakeChild, "failing", None)
    file = tmp_path / "g.conf"
    file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\n")
    made = Parent(str(file), read_configuration(file), 2, 1, Loop(SteppedClock(now=SECOND)), Log())
    made.text = file
    made.start()
    yield made
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for sock in made.listeners.by_address.values():
        sock.close()
    made.loop.close()


def test_a_child_that_cannot_be_started_again_at_once_is_started_later(family):
    FakeChild.failing = failing = Failing(lambda: None, *[errno.EAGAIN] * 3)
    family.children.by_slot[0].ended.set(1)
    family.loop.run(until=family.loop.sleep(60 * SECOND))
    assert failing.failed == 3
    assert sorted(family.children.by_slot) == [0, 1]
    assert not family.loop.errors
    assert family.log.lines.count(("warning", "child_start_failed")) == 3


def test_a_rolling_reload_goes_on_though_a_child_cannot_be_started_at_once(family):
    before = set(family.children.by_slot.values())
    FakeChild.failing = failing = Failing(lambda: None, *[errno.EMFILE] * 3)
    family.reloads.reload()
    family.loop.run(until=family.loop.sleep(10 * SECOND))
    assert failing.failed == 3
    assert not family.reloads.rolling
    assert not family.loop.errors
    assert len(family.children.by_slot) == 2
    assert not before & set(family.children.by_slot.values())


def test_a_rolling_reload_whose_children_cannot_be_started_is_given_up_and_the_next_one_goes_on(
    family,
):
    before = set(family.children.by_slot.values())
    FakeChild.failing = Failing(lambda: None, *[errno.EMFILE] * MAX_START_ATTEMPTS)
    family.reloads.reload()
    family.loop.run(until=family.loop.sleep(20 * SECOND))
    assert set(family.children.by_slot.values()) == before
    assert not family.reloads.rolling
    assert not family.loop.errors
    family.reloads.reload()
    family.loop.run(until=family.loop.sleep(20 * SECOND))
    assert not before & set(family.children.by_slot.values())


@pytest.mark.parametrize("code", [*SHORT, errno.EINTR, errno.EIO])
def test_a_new_configuration_that_cannot_be_read_at_once_is_read_later(family, monkeypatch, code):
    before = set(family.children.by_slot.values())
    failing = Failing(pathlib.Path.read_text, code, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing(path))
    family.reloads.reload()
    family.loop.run(until=family.loop.sleep(SECOND))
    assert failing.failed == 2
    assert not before & set(family.children.by_slot.values())
    assert ("error", "configuration_rejected") not in family.log.lines
    assert family.reloads.retry_timer is None


def test_a_new_configuration_that_is_wrong_is_refused_at_once(family):
    family.text.write_text("nonsense\n")
    family.reloads.reload()
    assert ("error", "configuration_rejected") in family.log.lines
    assert family.reloads.retry_timer is None


@pytest.mark.parametrize("code", [*SHORT, errno.ENOBUFS, errno.EADDRINUSE])
def test_a_new_address_that_cannot_be_had_at_once_is_had_later(family, monkeypatch, code):
    before = dict(family.listeners.by_address)
    monkeypatch.setattr(
        listening_sockets, "open_listening_socket", Failing(listening.open_listening_socket, code, code)
    )
    family.text.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\nlisten kserve 127.0.0.2:0\n")
    family.reloads.reload()
    assert family.listeners.by_address == before
    family.loop.run(until=family.loop.sleep(SECOND))
    assert len(family.listeners.by_address) == 2
    assert not family.reloads.rolling


def test_a_new_address_that_cannot_be_had_at_all_is_refused_soon_and_nothing_changes(family):
    before, children = dict(family.listeners.by_address), dict(family.children.by_slot)
    family.text.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\nlisten kserve 192.0.2.1:80\n")
    family.reloads.reload()
    family.loop.run(until=family.loop.sleep(3 * SECOND))
    assert family.log.lines.count(("error", "configuration_rejected")) == 1
    assert family.listeners.by_address == before
    assert family.children.by_slot == children


def test_the_start_of_a_parent_may_be_called_again(monkeypatch, family):
    del family.children.by_slot[1]
    FakeChild.failing = Failing(lambda: None, errno.EAGAIN, None)
    first = family.children.by_slot[0]
    with pytest.raises(OSError, match=os.strerror(errno.EAGAIN)):
        family.start()
    family.start()
    assert sorted(family.children.by_slot) == [0, 1]
    assert family.children.by_slot[0] is first


# One gateway


@pytest.mark.parametrize("place", range(6))
def test_a_gateway_whose_listeners_cannot_be_had_starts_at_the_next_try(tmp_path, monkeypatch, place):
    before = open_descriptors()
    text = (
        f"{CONFIGURATION}host a 127.0.0.1:1\nlisten peers 127.0.0.1:0\nlisten operator unix:{tmp_path}/op\n"
        "listen kserve 127.0.0.1:0\n"
    )
    made = Appliance(read_configuration("g", text), Loop(), 5, logger(io.StringIO()))
    failing = Failing(socket.socket, *[None] * place, errno.ENFILE)
    with monkeypatch.context() as patched:
        patched.setattr(socket, "socket", failing)
        failed = None  # where a start makes fewer sockets than `place`
        try:
            made.start()
        except OSError as error:
            failed = error
        if failed is not None:
            assert failed.errno == errno.ENFILE
            assert not made.fronts
            assert not made.loop.watched
            made.start()
    assert len(made.fronts) == 4
    assert len(made.client_fronts) == 2
    made.close()
    assert not made.loop.watched
    made.loop.close()
    assert open_descriptors() == before


@pytest.fixture
def serve(monkeypatch, tmp_path):
    """Runs `gaproute serve` up to the loop, with waits that take no time."""
    file, waits = tmp_path / "g.conf", []
    file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\n")
    made = []

    def patience():
        return StartupRetries(sleep=waits.append)

    def run(*options):
        result = CliRunner().invoke(serving.serve, [str(file), *options])
        result.waits, result.made = waits, made
        return result

    monkeypatch.setattr(serving, "StartupRetries", patience)
    monkeypatch.setattr(Appliance, "run", lambda runs: made.append(runs))
    monkeypatch.setattr(serving.gc, "freeze", lambda: None)
    monkeypatch.setattr(serving.gc, "set_threshold", lambda *_: None)
    yield run
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for each in made:
        each.close()
        each.loop.close()


@pytest.mark.parametrize("code", SHORT)
def test_a_gateway_starts_though_each_step_fails_at_first(serve, monkeypatch, code):
    read = Failing(pathlib.Path.read_text, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: read(path))
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, code, code))
    monkeypatch.setattr(os, "pipe2", Failing(os.pipe2, code))
    monkeypatch.setattr(
        listening, "open_listening_socket", Failing(listening.open_listening_socket, code, code)
    )
    result = serve()
    assert result.exit_code == 0, result.output
    assert len(result.made) == 1, result.output
    assert len(result.waits) == 6, result.output


def test_a_gateway_that_gets_no_epoll_says_so(serve, monkeypatch):
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, *[errno.EPERM] * 99))
    result = serve()
    assert result.exit_code == 3
    assert "cannot start" in result.output


def test_a_readiness_message_that_nobody_reads_does_not_end_the_gateway(monkeypatch):
    made = Appliance(
        read_configuration("g", f"{CONFIGURATION}host a 127.0.0.1:1\n"), Loop(), 5, logger(io.StringIO())
    )
    life, ends = os.pipe()
    reads, ready = os.pipe()
    os.close(reads)
    made.attach_to_parent(life, ready)
    with pytest.raises(OSError, match=os.strerror(errno.EBADF)):
        os.fstat(ready)
    os.close(ends)
    made.loop.unwatch(life)
    os.close(life)
    made.close()
    made.loop.close()


# Files that are watched


@pytest.fixture
def watched(tmp_path):
    file, loop = tmp_path / "hosts", Loop(SteppedClock(now=SECOND))
    file.write_text("host a 127.0.0.1:1\n")
    lists, refused = [], []
    made = FileWatch(
        loop, str(file), 5 * MILLI, lambda lines: lists.append([line.name for line in lines]), refused.append
    )
    made.file, made.heard, made.wrong = file, lists, refused
    yield made
    made.close()
    loop.close()


@pytest.mark.parametrize("code", [*SHORT, errno.EINTR, errno.EIO])
def test_a_changed_list_that_cannot_be_read_for_a_moment_is_read_at_the_next_look(watched, monkeypatch, code):
    failing = Failing(pathlib.Path.read_text, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing(path))
    watched.file.write_text("host b 127.0.0.1:1\nhost c 127.0.0.1:2\n")
    watched.loop.run(until=watched.loop.sleep(20 * MILLI))
    assert failing.failed == 1
    assert watched.heard == [["a"], ["b", "c"]]
    assert not watched.wrong


def test_a_list_that_cannot_be_read_for_long_is_reported_once_and_read_in_the_end(watched, monkeypatch):
    failing = Failing(pathlib.Path.read_text, *[errno.EMFILE] * 20)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing(path))
    watched.file.write_text("host b 127.0.0.1:1\n")
    watched.loop.run(until=watched.loop.sleep(500 * MILLI))
    assert failing.failed == 20 > FAILURES_BEFORE_REPORT
    assert len(watched.wrong) == 1
    assert watched.heard == [["a"], ["b"]]


@pytest.mark.parametrize("code", [errno.ENOMEM, errno.EIO])
def test_a_look_that_fails_for_a_moment_changes_nothing(watched, monkeypatch, code):
    monkeypatch.setattr(os, "stat", Failing(os.stat, code, code))
    watched.loop.run(until=watched.loop.sleep(50 * MILLI))
    assert watched.heard == [["a"]]
    assert not watched.wrong


def test_a_file_that_cannot_be_read_says_why_in_what_it_is_raised_from(monkeypatch):
    monkeypatch.setattr(pathlib.Path, "read_text", Failing(pathlib.Path.read_text, errno.EMFILE))
    with pytest.raises(ConfigurationError) as wrong:
        read_hosts("x")
    assert wrong.value.__cause__.errno == fault(errno.EMFILE).errno
