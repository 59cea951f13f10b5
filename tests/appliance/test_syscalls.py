"""The gateway process, its parent and its files while system calls fail."""

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
SHORT_OF_RESOURCES = [errno.EMFILE, errno.ENFILE, errno.ENOMEM]


class RecordedLog:
    """Records level and event of each log line."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **fields: self.lines.append((level, event))


@pytest.fixture
def loop():
    before = open_descriptors()
    new_loop = Loop()
    yield new_loop
    assert not new_loop.watched
    new_loop.close()
    assert open_descriptors() == before


# A child


@pytest.mark.parametrize(
    ("module", "name", "calls"),
    [(os, "pipe2", 0), (os, "pipe2", 1), (subprocess, "Popen", 0), (os, "pidfd_open", 0)],
    ids=["first pipe", "second pipe", "process", "pidfd"],
)
def test_a_failed_start_of_a_child_leaves_no_descriptor_and_no_process(
    loop, monkeypatch, module, name, calls
):
    started_processes, popen = [], subprocess.Popen
    monkeypatch.setattr(
        subprocess,
        "Popen",
        lambda *args, **options: started_processes.append(popen(*args, **options)) or started_processes[-1],
    )
    monkeypatch.setattr(module, name, Failing(getattr(module, name), *[None] * calls, errno.EMFILE))
    before = open_descriptors()
    with pytest.raises(OSError, match=os.strerror(errno.EMFILE)) as raised:
        ChildProcess(loop, ["sleep", "60"], [])
    assert raised.value.errno == errno.EMFILE
    assert open_descriptors() == before
    assert not loop.watched
    assert all(process.returncode is not None for process in started_processes)


class FakeChild:
    """A stand-in for `ChildProcess` that serves at once; `start_call` is called at each start."""

    start_call = None

    def __init__(self, loop, command, descriptors):
        from gaproute.loop import Promise

        if FakeChild.start_call is not None:
            FakeChild.start_call()
        self.started_at, self.ready, self.ended = loop.now(), Promise(), Promise()
        self.ready.set(True)

    def stop(self):
        self.ended.set(0)


@pytest.fixture
def parent(monkeypatch, tmp_path):
    """A parent of two stand-in children, on a stepped clock."""
    monkeypatch.setattr(child_processes, "ChildProcess", FakeChild)
    monkeypatch.setattr(FakeChild, "start_call", None)
    file = tmp_path / "g.conf"
    file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\n")
    parent = Parent(str(file), read_configuration(file), 2, 1, Loop(SteppedClock(now=SECOND)), RecordedLog())
    parent.test_file = file
    parent.start()
    yield parent
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for sock in parent.listeners.by_address.values():
        sock.close()
    parent.loop.close()


def test_a_failed_restart_of_a_child_is_retried(parent):
    FakeChild.start_call = failing_start = Failing(lambda: None, *[errno.EAGAIN] * 3)
    parent.children.by_slot[0].ended.set(1)
    parent.loop.run(until=parent.loop.sleep(60 * SECOND))
    assert failing_start.failed == 3
    assert sorted(parent.children.by_slot) == [0, 1]
    assert not parent.loop.errors
    assert parent.log.lines.count(("warning", "child_start_failed")) == 3


def test_a_rolling_reload_retries_the_failed_start_of_a_child(parent):
    before = set(parent.children.by_slot.values())
    FakeChild.start_call = failing_start = Failing(lambda: None, *[errno.EMFILE] * 3)
    parent.reloads.reload()
    parent.loop.run(until=parent.loop.sleep(10 * SECOND))
    assert failing_start.failed == 3
    assert not parent.reloads.rolling
    assert not parent.loop.errors
    assert len(parent.children.by_slot) == 2
    assert not before & set(parent.children.by_slot.values())


def test_a_rolling_reload_is_abandoned_after_all_start_attempts_and_the_next_one_succeeds(
    parent,
):
    before = set(parent.children.by_slot.values())
    FakeChild.start_call = Failing(lambda: None, *[errno.EMFILE] * MAX_START_ATTEMPTS)
    parent.reloads.reload()
    parent.loop.run(until=parent.loop.sleep(20 * SECOND))
    assert set(parent.children.by_slot.values()) == before
    assert not parent.reloads.rolling
    assert not parent.loop.errors
    parent.reloads.reload()
    parent.loop.run(until=parent.loop.sleep(20 * SECOND))
    assert not before & set(parent.children.by_slot.values())


@pytest.mark.parametrize("code", [*SHORT_OF_RESOURCES, errno.EINTR, errno.EIO])
def test_a_failed_read_of_a_new_configuration_is_retried(parent, monkeypatch, code):
    before = set(parent.children.by_slot.values())
    failing_read = Failing(pathlib.Path.read_text, code, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing_read(path))
    parent.reloads.reload()
    parent.loop.run(until=parent.loop.sleep(SECOND))
    assert failing_read.failed == 2
    assert not before & set(parent.children.by_slot.values())
    assert ("error", "configuration_rejected") not in parent.log.lines
    assert parent.reloads.retry_timer is None


def test_an_invalid_new_configuration_is_rejected_at_once(parent):
    parent.test_file.write_text("nonsense\n")
    parent.reloads.reload()
    assert ("error", "configuration_rejected") in parent.log.lines
    assert parent.reloads.retry_timer is None


@pytest.mark.parametrize("code", [*SHORT_OF_RESOURCES, errno.ENOBUFS, errno.EADDRINUSE])
def test_a_transient_failure_to_listen_on_a_new_address_is_retried(parent, monkeypatch, code):
    before = dict(parent.listeners.by_address)
    monkeypatch.setattr(
        listening_sockets, "open_listening_socket", Failing(listening.open_listening_socket, code, code)
    )
    parent.test_file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\nlisten kserve 127.0.0.2:0\n")
    parent.reloads.reload()
    assert parent.listeners.by_address == before
    parent.loop.run(until=parent.loop.sleep(SECOND))
    assert len(parent.listeners.by_address) == 2
    assert not parent.reloads.rolling


def test_a_configuration_with_an_unavailable_address_is_rejected_soon_and_changes_nothing(parent):
    before, children = dict(parent.listeners.by_address), dict(parent.children.by_slot)
    parent.test_file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\nlisten kserve 192.0.2.1:80\n")
    parent.reloads.reload()
    parent.loop.run(until=parent.loop.sleep(3 * SECOND))
    assert parent.log.lines.count(("error", "configuration_rejected")) == 1
    assert parent.listeners.by_address == before
    assert parent.children.by_slot == children


def test_the_start_of_a_parent_can_be_repeated_after_a_failure(monkeypatch, parent):
    del parent.children.by_slot[1]
    FakeChild.start_call = Failing(lambda: None, errno.EAGAIN, None)
    first = parent.children.by_slot[0]
    with pytest.raises(OSError, match=os.strerror(errno.EAGAIN)):
        parent.start()
    parent.start()
    assert sorted(parent.children.by_slot) == [0, 1]
    assert parent.children.by_slot[0] is first


# One gateway


@pytest.mark.parametrize("place", range(6))
def test_a_gateway_starts_at_the_second_call_after_a_listener_failed(tmp_path, monkeypatch, place):
    before = open_descriptors()
    text = (
        f"{CONFIGURATION}host a 127.0.0.1:1\nlisten peers 127.0.0.1:0\nlisten operator unix:{tmp_path}/op\n"
        "listen kserve 127.0.0.1:0\n"
    )
    appliance = Appliance(read_configuration("g", text), Loop(), 5, logger(io.StringIO()))
    failing = Failing(socket.socket, *[None] * place, errno.ENFILE)
    with monkeypatch.context() as patched:
        patched.setattr(socket, "socket", failing)
        failed = None  # stays None if the start makes no more than `place` sockets
        try:
            appliance.start()
        except OSError as error:
            failed = error
        if failed is not None:
            assert failed.errno == errno.ENFILE
            assert not appliance.fronts
            assert not appliance.loop.watched
            appliance.start()
    assert len(appliance.fronts) == 4
    assert len(appliance.client_fronts) == 2
    appliance.close()
    assert not appliance.loop.watched
    appliance.loop.close()
    assert open_descriptors() == before


@pytest.fixture
def serve(monkeypatch, tmp_path):
    """Returns a function that runs `gaproute serve` up to the loop and records delays in place of waits."""
    file, waits = tmp_path / "g.conf", []
    file.write_text(f"{CONFIGURATION}host a 127.0.0.1:1\n")
    appliances = []

    def make_retries():
        return StartupRetries(sleep=waits.append)

    def run(*options):
        result = CliRunner().invoke(serving.serve, [str(file), *options])
        result.waits, result.appliances = waits, appliances
        return result

    monkeypatch.setattr(serving, "StartupRetries", make_retries)
    monkeypatch.setattr(Appliance, "run", lambda appliance: appliances.append(appliance))
    monkeypatch.setattr(serving.gc, "freeze", lambda: None)
    monkeypatch.setattr(serving.gc, "set_threshold", lambda *_: None)
    yield run
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for appliance in appliances:
        appliance.close()
        appliance.loop.close()


@pytest.mark.parametrize("code", SHORT_OF_RESOURCES)
def test_a_gateway_starts_although_each_step_fails_at_first(serve, monkeypatch, code):
    read = Failing(pathlib.Path.read_text, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: read(path))
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, code, code))
    monkeypatch.setattr(os, "pipe2", Failing(os.pipe2, code))
    monkeypatch.setattr(
        listening, "open_listening_socket", Failing(listening.open_listening_socket, code, code)
    )
    result = serve()
    assert result.exit_code == 0, result.output
    assert len(result.appliances) == 1, result.output
    assert len(result.waits) == 6, result.output


def test_a_gateway_that_cannot_create_an_epoll_exits_with_an_error(serve, monkeypatch):
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, *[errno.EPERM] * 99))
    result = serve()
    assert result.exit_code == 3
    assert "cannot start" in result.output


def test_a_readiness_message_without_a_reader_does_not_end_the_gateway(monkeypatch):
    appliance = Appliance(
        read_configuration("g", f"{CONFIGURATION}host a 127.0.0.1:1\n"), Loop(), 5, logger(io.StringIO())
    )
    liveness_pipe, parent_end = os.pipe()
    ready_pipe, ready_end = os.pipe()
    os.close(ready_pipe)
    appliance.attach_to_parent(liveness_pipe, ready_end)
    with pytest.raises(OSError, match=os.strerror(errno.EBADF)):
        os.fstat(ready_end)
    os.close(parent_end)
    appliance.loop.unwatch(liveness_pipe)
    os.close(liveness_pipe)
    appliance.close()
    appliance.loop.close()


# Watched files


@pytest.fixture
def file_watch(tmp_path):
    file, loop = tmp_path / "hosts", Loop(SteppedClock(now=SECOND))
    file.write_text("host a 127.0.0.1:1\n")
    lists, rejections = [], []
    watch = FileWatch(
        loop,
        str(file),
        5 * MILLI,
        lambda lines: lists.append([line.name for line in lines]),
        rejections.append,
    )
    watch.file, watch.lists, watch.rejections = file, lists, rejections
    yield watch
    watch.close()
    loop.close()


@pytest.mark.parametrize("code", [*SHORT_OF_RESOURCES, errno.EINTR, errno.EIO])
def test_a_transient_failure_to_read_a_changed_list_is_retried_at_the_next_check(
    file_watch, monkeypatch, code
):
    failing = Failing(pathlib.Path.read_text, code)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing(path))
    file_watch.file.write_text("host b 127.0.0.1:1\nhost c 127.0.0.1:2\n")
    file_watch.loop.run(until=file_watch.loop.sleep(20 * MILLI))
    assert failing.failed == 1
    assert file_watch.lists == [["a"], ["b", "c"]]
    assert not file_watch.rejections


def test_a_lasting_failure_to_read_a_list_is_reported_once_and_retried_until_it_ends(file_watch, monkeypatch):
    failing = Failing(pathlib.Path.read_text, *[errno.EMFILE] * 20)
    monkeypatch.setattr(pathlib.Path, "read_text", lambda path: failing(path))
    file_watch.file.write_text("host b 127.0.0.1:1\n")
    file_watch.loop.run(until=file_watch.loop.sleep(500 * MILLI))
    assert failing.failed == 20 > FAILURES_BEFORE_REPORT
    assert len(file_watch.rejections) == 1
    assert file_watch.lists == [["a"], ["b"]]


@pytest.mark.parametrize("code", [errno.ENOMEM, errno.EIO])
def test_a_transient_failure_to_check_a_file_changes_nothing(file_watch, monkeypatch, code):
    monkeypatch.setattr(os, "stat", Failing(os.stat, code, code))
    file_watch.loop.run(until=file_watch.loop.sleep(50 * MILLI))
    assert file_watch.lists == [["a"]]
    assert not file_watch.rejections


def test_the_error_of_an_unreadable_file_has_the_os_error_as_its_cause(monkeypatch):
    monkeypatch.setattr(pathlib.Path, "read_text", Failing(pathlib.Path.read_text, errno.EMFILE))
    with pytest.raises(ConfigurationError) as raised:
        read_hosts("x")
    assert raised.value.__cause__.errno == fault(errno.EMFILE).errno
