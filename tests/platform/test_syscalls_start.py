"""The start of the platform's gateway while system calls fail temporarily."""

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
from gaproute.platform.process import GatewayProcess


@pytest.fixture
def retries():
    """Startup retries whose pauses only advance a test clock; `waits`: the pauses in seconds."""
    clock = Handed()

    def sleep(duration):
        startup_retries.waits.append(duration)
        clock.now += int(duration * SECOND)

    startup_retries = StartupRetries(clock, sleep)
    startup_retries.waits = []
    return startup_retries


# StartupRetries


def test_a_failing_step_is_retried_with_growing_pauses(retries):
    step = Failing(lambda: "done", *SHORT_OF_RESOURCES, errno.EINTR, errno.EAGAIN, errno.ENOSPC)
    assert retries.call(step) == "done"
    assert retries.waits == [0.005, 0.01, 0.02, 0.04, 0.05, 0.05, 0.05]


@pytest.mark.parametrize(
    ("code", "duration"),
    [
        (errno.EMFILE, START_RETRY_TIME),
        (errno.EADDRINUSE, BIND_RETRY_TIME),
        (errno.EADDRNOTAVAIL, BIND_RETRY_TIME),
        (errno.EACCES, 0),
        (errno.EAFNOSUPPORT, 0),
    ],
)
def test_a_step_that_keeps_failing_is_retried_only_for_the_time_of_its_error(retries, code, duration):
    started_at = retries.clock()
    with pytest.raises(OSError, match=rf"Errno {code}\b") as raised:
        retries.call(Failing(lambda: None, *[code] * 999))
    assert raised.value.errno == code
    assert duration - SECOND // 4 <= retries.clock() - started_at <= duration + MILLI


def test_all_steps_share_one_retry_time_of_less_than_ten_seconds(retries):
    started_at = retries.clock()
    retries.call(Failing(lambda: None, *[errno.EMFILE] * 100))
    with pytest.raises(OSError, match=rf"Errno {errno.EMFILE}\b"):
        retries.call(Failing(lambda: None, *[errno.EMFILE] * 999))
    assert retries.clock() - started_at <= START_RETRY_TIME < 10 * SECOND


def test_an_error_other_than_an_os_error_is_raised_at_once(retries):
    with pytest.raises(ZeroDivisionError):
        retries.call(lambda: 1 / 0)
    assert not retries.waits


# The program


@pytest.fixture
def run_program(monkeypatch, tmp_path, retries):
    """Runs the program without its loop and without real pauses, and returns its exit code."""
    path, processes = tmp_path / "config.json", []
    configuration = {"name": "n1", "listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "settings": SETTINGS}
    path.write_text(json.dumps(configuration))
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    monkeypatch.setattr(program, "StartupRetries", lambda: retries)
    monkeypatch.setattr(program.gc, "freeze", lambda: None)
    monkeypatch.setattr(GatewayProcess, "run", lambda process: processes.append(process))
    monkeypatch.setattr(Log, "write_line", lambda *_: None)
    before = open_descriptors()

    def run(**changes):
        path.write_text(json.dumps(configuration | changes))
        return program.main()

    run.processes = processes
    yield run
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL if number != signal.SIGINT else signal.default_int_handler)
    for process in processes:
        process.front.close()
        process.host_list.close()
        process.host_client.close()
        process.peer_reports.close()
        (pipe,) = process.loop.watched
        process.loop.close()
        os.close(pipe)
    # Each process keeps the write end of its signal pipe open; a failed start leaves the four descriptors of
    # its loop to the exit of the process.
    assert len(open_descriptors() - before) <= (len(processes) or 4)


def test_a_start_without_failures_does_not_wait(run_program, retries):
    assert run_program() == 0
    assert len(run_program.processes) == 1
    assert not retries.waits


@pytest.mark.parametrize("code", SHORT_OF_RESOURCES)
@pytest.mark.parametrize("name", ["socket", "bind", "listen", "getsockname"])
def test_a_listener_is_created_after_a_retry_if_its_system_calls_first_fail(
    run_program, monkeypatch, name, code
):
    monkeypatch.setattr(listening, "socket", FailingSocketModule(name, code, code, code))
    assert run_program() == 0
    assert run_program.processes[0].front.address.startswith("127.0.0.1:")
    assert len(run_program.processes[0].front.connections.owners) == 1


def test_the_start_waits_for_an_address_in_use_until_it_is_free(run_program, retries):
    blocker = socket.create_server(("127.0.0.1", 0))
    listen_address = f"127.0.0.1:{blocker.getsockname()[1]}"
    wait = retries.sleep

    def sleep(duration):
        wait(duration)
        if len(retries.waits) == 4:
            blocker.close()

    retries.sleep = sleep
    assert run_program(listen=listen_address) == 0
    assert run_program.processes[0].front.address == listen_address


@pytest.mark.parametrize("listen_address", ["192.0.2.1:80", "taken"])
def test_the_start_exits_with_3_and_a_message_if_its_address_stays_unavailable(
    run_program, retries, capsys, listen_address
):
    started_at = retries.clock()
    with socket.create_server(("127.0.0.1", 0)) as blocker:
        listen_address = (
            f"127.0.0.1:{blocker.getsockname()[1]}" if listen_address == "taken" else listen_address
        )
        assert run_program(listen=listen_address) == 3
    assert f"cannot listen on {listen_address}" in capsys.readouterr().err
    assert retries.clock() - started_at <= BIND_RETRY_TIME + MILLI
    assert not run_program.processes


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_creating_the_epolls_and_the_signal_pipe_is_retried(run_program, monkeypatch, code):
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, code, None, code))
    monkeypatch.setattr(os, "pipe2", Failing(os.pipe2, code, code))
    assert run_program() == 0
    assert select.epoll.failed == 2
    assert os.pipe2.failed == 2


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_reading_the_configuration_is_retried_after_a_transient_error(run_program, monkeypatch, code):
    real = builtins.open
    failing = Failing(real, code, code)
    monkeypatch.setattr(platform_configuration, "open", failing, raising=False)
    assert run_program() == 0
    assert failing.failed == 2


@pytest.mark.parametrize("one_in", [8, 3])
@pytest.mark.parametrize("seed", range(40))
def test_a_start_succeeds_although_each_system_call_fails_at_random(
    run_program, monkeypatch, retries, one_in, seed
):
    random_source, started_at = random.Random(seed), retries.clock()

    def flaky(call):
        def called(*args, **options):
            if random_source.randrange(one_in) == 0:
                raise fault(random_source.choice(SHORT_OF_RESOURCES))
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
    assert run_program() == 0
    assert retries.clock() - started_at < START_RETRY_TIME


def test_a_missing_configuration_ends_the_start_without_retries(run_program, monkeypatch, retries, capsys):
    monkeypatch.setenv("EDGE_CONFIG", "/nowhere/config.json")
    assert run_program() == 2
    assert not retries.waits
    assert "/nowhere" in capsys.readouterr().err


def test_the_start_exits_with_3_in_time_if_no_epoll_can_be_created(run_program, monkeypatch, retries, capsys):
    started_at = retries.clock()
    monkeypatch.setattr(select, "epoll", Failing(select.epoll, *[errno.EMFILE] * 999))
    assert run_program() == 3
    assert "cannot start" in capsys.readouterr().err
    assert retries.clock() - started_at <= START_RETRY_TIME


def test_the_program_waits_for_its_address_and_then_serves(tmp_path):
    blocker = socket.create_server(("127.0.0.1", 0))
    listen_address = blocker.getsockname()
    path = tmp_path / "config.json"
    configuration = {"name": "n1", "listen": f"127.0.0.1:{listen_address[1]}", "changelog": "127.0.0.1:9"}
    path.write_text(json.dumps(configuration | {"settings": SETTINGS}))
    environment = {**os.environ, "EDGE_CONFIG": str(path)}
    child = subprocess.Popen(
        [sys.executable, "-m", "gaproute.platform"], env=environment, stderr=subprocess.DEVNULL
    )
    try:
        time.sleep(1)
        blocker.close()
        for _ in range(200):
            try:
                socket.create_connection(listen_address).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.05)
        assert child.poll() is None
        child.terminate()
        assert child.wait(10) == 0
    finally:
        child.kill()
        child.wait()


def _raise_from_os_error():
    try:
        raise fault(errno.EMFILE)
    except OSError as inner:
        raise platform_configuration.ConfigurationUnreadableError("text", inner) from inner


def test_cause_of_returns_the_os_error_from_which_an_error_was_raised():
    with pytest.raises(platform_configuration.ConfigurationUnreadableError) as outer:
        _raise_from_os_error()
    assert find_os_error(outer.value).errno == errno.EMFILE
    assert find_os_error(ValueError()) is None
