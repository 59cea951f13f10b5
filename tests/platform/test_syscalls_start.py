"""The start of the platform's gateway while system calls fail for a moment."""

import builtins
import errno
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import time

import pytest
from failing import SHORT_OF_RESOURCES, Failing, FailingSocketModule, fault, open_descriptors
from scripted import MILLI, SECOND, SETTINGS, Handed

from gaproute.loop import dialing, listening
from gaproute.loop.faults import find_os_error
from gaproute.loop.starting import BIND_RETRY_TIME, START_RETRY_TIME, StartupRetries
from gaproute.platform import __main__ as program
from gaproute.platform import configuration as platform_configuration
from gaproute.platform.log import Log
from gaproute.platform.process import Process


@pytest.fixture
def retries():
    """Startup retries whose pauses take no time; `waits`: the pauses in seconds."""
    clock = Handed()

    def sleep(span):
        made.waits.append(span)
        clock.now += int(span * SECOND)

    made = StartupRetries(clock, sleep)
    made.waits = []
    return made


# StartupRetries


def test_a_step_is_called_again_with_pauses_that_grow(retries):
    step = Failing(lambda: "done", *SHORT_OF_RESOURCES, errno.EINTR, errno.EAGAIN, errno.ENOSPC)
    assert retries.call(step) == "done"
    assert retries.waits == [0.005, 0.01, 0.02, 0.04, 0.05, 0.05, 0.05]


@pytest.mark.parametrize(
    ("code", "span"),
    [
        (errno.EMFILE, START_RETRY_TIME),
        (errno.EADDRINUSE, BIND_RETRY_TIME),
        (errno.EADDRNOTAVAIL, BIND_RETRY_TIME),
        (errno.EACCES, 0),
        (errno.EAFNOSUPPORT, 0),
    ],
)
def test_a_step_that_goes_on_failing_is_given_up_in_time(retries, code, span):
    began = retries.clock()
    with pytest.raises(OSError, match=rf"Errno {code}\b") as raised:
        retries.call(Failing(lambda: None, *[code] * 999))
    assert raised.value.errno == code
    assert span - SECOND // 4 <= retries.clock() - began <= span + MILLI


def test_all_steps_have_one_time_together_and_it_is_under_ten_seconds(retries):
    began = retries.clock()
    retries.call(Failing(lambda: None, *[errno.EMFILE] * 100))
    with pytest.raises(OSError, match=rf"Errno {errno.EMFILE}\b"):
        retries.call(Failing(lambda: None, *[errno.EMFILE] * 999))
    assert retries.clock() - began <= START_RETRY_TIME < 10 * SECOND


def test_what_is_no_failure_of_a_system_call_is_raised_at_once(retries):
    with pytest.raises(ZeroDivisionError):
        retries.call(lambda: 1 / 0)
    assert not retries.waits


# The program


@pytest.fixture
def started(monkeypatch, tmp_path, retries):
    """Runs the program up to its loop, with waits that take no time; returns its exit code."""
    path, made = tmp_path / "config.json", []
    configuration = {"name": "n1", "listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "settings": SETTINGS}
    path.write_text(json.dumps(configuration))
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    monkeypatch.setattr(program, "StartupRetries", lambda: retries)
    monkeypatch.setattr(program.gc, "freeze", lambda: None)
    monkeypatch.setattr(Process, "run", lambda process: made.append(process))
    monkeypatch.setattr(Log, "write_line", lambda *_: None)
    before = open_descriptors()

    def run(**changes):
        path.write_text(json.dumps(configuration | changes))
        return program.main()

    run.made = made
    yield run
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL if number != signal.SIGINT else signal.default_int_handler)
    for process in made:
        process.front.close()
        process.host_list.close()
        process.hosts.close()
        process.peers.close()
        (pipe,) = process.loop.watched
        process.loop.close()
        os.close(pipe)
    # The writing end of the signals' pipe; a start that was given up leaves all four of its loop to the exit.
    assert len(open_descriptors() - before) <= (len(made) or 4)


def test_a_start_without_failures_does_not_wait(started, retries):
    assert started() == 0
    assert len(started.made) == 1
    assert not retries.waits


@pytest.mark.parametrize("code", SHORT_OF_RESOURCES)
@pytest.mark.parametrize("name", ["socket", "bind", "listen", "getsockname"])
def test_a_listener_that_cannot_be_had_at_once_is_had_a_moment_later(started, monkeypatch, name, code):
    monkeypatch.setattr(listening, "socket", FailingSocketModule(name, code, code, code))
    assert started() == 0
    assert started.made[0].front.address.startswith("127.0.0.1:")
    assert len(started.made[0].front.connections.owners) == 1


def test_an_address_in_use_by_one_that_ends_is_had_when_it_is_free(started, retries):
    taken = socket.create_server(("127.0.0.1", 0))
    where = f"127.0.0.1:{taken.getsockname()[1]}"
    wait = retries.sleep

    def sleep(span):
        wait(span)
        if len(retries.waits) == 4:
            taken.close()

    retries.sleep = sleep
    assert started(listen=where) == 0
    assert started.made[0].front.address == where


@pytest.mark.parametrize("where", ["192.0.2.1:80", "taken"])
def test_an_address_that_cannot_be_had_ends_the_start_with_3_and_says_so_soon(
    started, retries, capsys, where
):
    began = retries.clock()
    with socket.create_server(("127.0.0.1", 0)) as taken:
        where = f"127.0.0.1:{taken.getsockname()[1]}" if where == "taken" else where
        assert started(listen=where) == 3
    assert f"cannot listen on {where}" in capsys.readouterr().err
    assert retries.clock() - began <= BIND_RETRY_TIME + MILLI
    assert not started.made


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_the_epolls_and_the_signals_pipe_are_asked_for_again(started, monkeypatch, code):
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, code, None, code))
    monkeypatch.setattr(os, "pipe2", Failing(os.pipe2, code, code))
    assert started() == 0
    assert select.epoll.failed == 2
    assert os.pipe2.failed == 2


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_a_configuration_that_cannot_be_read_at_once_is_read_a_moment_later(started, monkeypatch, code):
    real = builtins.open
    failing = Failing(real, code, code)
    monkeypatch.setattr(platform_configuration, "open", failing, raising=False)
    assert started() == 0
    assert failing.failed == 2


@pytest.mark.parametrize("one_in", [8, 3])
@pytest.mark.parametrize("seed", range(40))
def test_a_start_succeeds_though_each_of_its_calls_fails_by_chance(
    started, monkeypatch, retries, one_in, seed
):
    chance, began = random.Random(seed), retries.clock()

    def flaky(call):
        def called(*args, **options):
            if chance.randrange(one_in) == 0:
                raise fault(chance.choice(SHORT_OF_RESOURCES))
            return call(*args, **options)

        return called

    class Flaky(socket.socket):
        bind, listen = flaky(socket.socket.bind), flaky(socket.socket.listen)
        setsockopt, getsockname = flaky(socket.socket.setsockopt), flaky(socket.socket.getsockname)
        connect_ex = flaky(socket.socket.connect_ex)

    sockets = FailingSocketModule("socket")
    sockets.socket = flaky(Flaky)
    monkeypatch.setattr(listening, "socket", sockets)
    monkeypatch.setattr(dialing, "socket", sockets)
    monkeypatch.setattr(select, "epoll", flaky(select.epoll))
    monkeypatch.setattr(os, "pipe2", flaky(os.pipe2))
    monkeypatch.setattr(platform_configuration, "open", flaky(builtins.open), raising=False)
    assert started() == 0
    assert retries.clock() - began < START_RETRY_TIME


def test_a_configuration_that_is_not_there_ends_the_start_at_once(started, monkeypatch, retries, capsys):
    monkeypatch.setenv("EDGE_CONFIG", "/nowhere/config.json")
    assert started() == 2
    assert not retries.waits
    assert "/nowhere" in capsys.readouterr().err


def test_a_machine_that_gives_no_epoll_at_all_ends_the_start_in_time(started, monkeypatch, retries, capsys):
    began = retries.clock()
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, *[errno.EMFILE] * 999))
    assert started() == 3
    assert "cannot start" in capsys.readouterr().err
    assert retries.clock() - began <= START_RETRY_TIME


def test_the_real_program_waits_for_its_address_and_then_serves(tmp_path):
    taken = socket.create_server(("127.0.0.1", 0))
    where = taken.getsockname()
    path = tmp_path / "config.json"
    configuration = {"name": "n1", "listen": f"127.0.0.1:{where[1]}", "changelog": "127.0.0.1:9"}
    path.write_text(json.dumps(configuration | {"settings": SETTINGS}))
    environment = {**os.environ, "EDGE_CONFIG": str(path)}
    child = subprocess.Popen(
        [sys.executable, "-m", "gaproute.platform"], env=environment, stderr=subprocess.DEVNULL
    )
    try:
        time.sleep(1)
        taken.close()
        for _ in range(200):
            try:
                socket.create_connection(where).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.05)
        assert child.poll() is None
        child.terminate()
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.wait()


def _raise_from_a_cause():
    try:
        raise fault(errno.EMFILE)
    except OSError as inner:
        raise platform_configuration.ConfigurationUnreadableError("text", inner) from inner


def test_a_cause_is_found_where_a_failure_was_raised_from_one():
    with pytest.raises(platform_configuration.ConfigurationUnreadableError) as outer:
        _raise_from_a_cause()
    assert find_os_error(outer.value).errno == errno.EMFILE
    assert find_os_error(ValueError()) is None
