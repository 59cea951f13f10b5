"""The stand-ins fail as Linux documents, leave far ends alone, and are gone after the installation."""

import errno
import gc
import os
import re
import select
import socket
import time

import pytest

from gaproute.connections import accepted
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.faultinjection.catalog import ERRNOS, FAULTS, NetworkCall
from gaproute.faultinjection.network import PACKAGES, NetworkFaults, modules_of
from gaproute.faultinjection.plan import ClockStep, Failure, FaultPlan, Script, ShortTransfer
from gaproute.fronts.jsonrpc import front
from gaproute.loop import Loop, datagrams, descriptors, dialing, listening, loop, signals, streams
from gaproute.units import SECOND

HOLDERS = (
    (loop, "select"),
    (descriptors, "select"),
    (signals, "os"),
    (streams, "socket"),
    (dialing, "socket"),
    (dialing, "os"),
    (listening, "socket"),
    (listening, "os"),
)


@pytest.fixture
def install():
    """Installs a script until the end of the test."""
    installed = []

    def make(*lines):
        installed.append(NetworkFaults(FaultPlan(Script.of(*lines))))
        return installed[-1].__enter__()

    yield make
    for faults in reversed(installed):
        faults.__exit__(None, None, None)


@pytest.fixture
def pair():
    """A faulty listener's accepted socket, and its far end on a plain one."""
    opened = []

    def make():
        listener = listening.open_listening_socket((socket.AF_INET, ("127.0.0.1", 0)))
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
        opened.extend((listener, far, near))
        return near, far

    yield make
    for sock in opened:
        sock.close()


def test_modules_have_their_own_names_again_afterwards_and_also_after_an_error():
    before = [getattr(module, name) for module, name in HOLDERS]

    def fail_under_faults():
        with NetworkFaults(FaultPlan(Script.of())):
            assert all(
                getattr(module, name) is not now for (module, name), now in zip(HOLDERS, before, strict=True)
            )
            raise KeyError

    with pytest.raises(KeyError):
        fail_under_faults()
    assert [getattr(module, name) for module, name in HOLDERS] == before
    assert MemberConverter.__init__.__defaults__ == (time.time_ns,)


def test_a_second_installation_at_a_time_is_an_error(install):
    install()
    with pytest.raises(RuntimeError, match="installed already"):
        install()


def test_every_module_of_the_event_loops_side_is_reached(install):
    real = (socket, select, os)
    install()
    left = [
        f"{module.__name__}.{name}"
        for module in modules_of(PACKAGES)
        for name, value in vars(module).items()
        if any(value is each for each in real)
    ]
    assert not left
    assert front.socket.socket is streams.socket.socket is datagrams.socket.socket
    assert accepted.os.read is signals.os.read is not os.read


@pytest.mark.parametrize(
    ("call", "act"),
    [
        (NetworkCall.SOCKET, lambda: dialing.socket.socket(socket.AF_INET, socket.SOCK_STREAM)),
        (NetworkCall.BIND, lambda: listening.open_listening_socket((socket.AF_INET, ("127.0.0.1", 0)))),
        (NetworkCall.LISTEN, lambda: listening.open_listening_socket((socket.AF_INET, ("127.0.0.1", 0)))),
        (NetworkCall.SETSOCKOPT, lambda: listening.open_listening_socket((socket.AF_INET, ("127.0.0.1", 0)))),
        (NetworkCall.EPOLL_CREATE, lambda: loop.select.epoll()),
        (NetworkCall.PIPE, lambda: signals.os.pipe2(os.O_CLOEXEC)),
    ],
)
def test_each_errno_of_a_call_is_raised_by_it_and_nothing_is_left_open(install, call, act):
    install(*((call, place, Failure(number)) for place, number in enumerate(ERRNOS[call], 1)))
    gc.collect()  # what an earlier test left unclosed is not to be collected between the two counts
    before = set(os.listdir("/proc/self/fd"))
    for number in ERRNOS[call]:
        with pytest.raises(OSError, match=re.escape(os.strerror(number))) as raised:
            act()
        assert raised.value.errno == number
    assert set(os.listdir("/proc/self/fd")) == before


def test_a_failed_accept_leaves_the_connection_in_the_queue(install, pair):
    install((NetworkCall.ACCEPT, 1, Failure(errno.EMFILE)))
    with pytest.raises(OSError, match="Too many open files"):
        pair()
    listener = listening.open_listening_socket((socket.AF_INET, ("127.0.0.1", 0)))
    with socket.create_connection(listener.getsockname()):
        accepted, _ = listener.accept()
        assert isinstance(accepted, streams.socket.socket)  # the accepted one is faulty as well
        accepted.close()
    listener.close()


@pytest.mark.parametrize("number", ERRNOS[NetworkCall.CONNECT])
def test_connect_raises_the_errno_and_succeeds_after_an_interruption(install, number):
    install((NetworkCall.CONNECT, 1, Failure(number)))
    far = socket.create_server(("127.0.0.1", 0))
    sock = dialing.socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    assert sock.connect_ex(far.getsockname()) == number
    came = select.select([far], [], [], 0.05)[0]
    assert bool(came) == (number == errno.EINTR)
    sock.close()
    far.close()


def test_a_connection_that_came_about_may_be_shown_to_have_failed(install, pair):
    install((NetworkCall.SO_ERROR, 1, Failure(errno.EHOSTUNREACH)))
    near, _ = pair()
    options = (socket.SOL_SOCKET, socket.SO_ERROR)
    assert [near.getsockopt(*options) for _ in range(2)] == [errno.EHOSTUNREACH, 0]


def test_reads_and_writes_are_short_and_lose_nothing(install, pair):
    install(
        (NetworkCall.RECV, 1, ShortTransfer(1)),
        (NetworkCall.RECV, 2, ShortTransfer(3)),
        (NetworkCall.SEND, 1, ShortTransfer(2)),
    )
    near, far = pair()
    far.send(b"abcdef")
    assert [near.recv(100) for _ in range(3)] == [b"a", b"bcd", b"ef"]
    assert near.send(b"abcdef") == 2
    assert far.recv(100) == b"ab"


def test_a_read_by_descriptor_is_short_and_breaks_like_one_by_socket(install, pair):
    install((NetworkCall.RECV, 1, ShortTransfer(1)), (NetworkCall.RECV, 2, Failure(errno.ETIMEDOUT)))
    near, far = pair()
    far.send(b"ab")
    assert accepted.os.read(near.fileno(), 100) == b"a"
    with pytest.raises(TimeoutError):
        accepted.os.read(near.fileno(), 100)
    assert accepted.os.read(near.fileno(), 100) == b""


@pytest.mark.parametrize("number", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_a_connection_broken_at_a_read_shows_its_error_once_and_what_was_on_its_way_is_lost(
    install, pair, number
):
    faults = install((NetworkCall.RECV, 1, Failure(number)))
    near, far = pair()
    far.send(b"lost")
    name = far.getsockname()
    with pytest.raises(OSError, match=re.escape(os.strerror(number))) as raised:
        near.recv(100)
    assert raised.value.errno == number
    assert near.recv(100) == b""
    assert far.recv(100) == b""
    assert faults.call_faults.broken_peers == {name}


def test_a_connection_broken_at_a_write_goes_on_failing_and_what_had_come_in_is_read(install, pair):
    install((NetworkCall.SEND, 1, Failure(errno.EHOSTUNREACH)))
    near, far = pair()
    far.send(b"last bytes")
    with pytest.raises(OSError, match="No route to host"):
        near.send(b"x")
    with pytest.raises(BrokenPipeError):
        near.send(b"x")
    assert near.recv(100) == b"last bytes"
    assert near.recv(100) == b""
    assert far.recv(100) == b""


def test_epoll_fails_by_operation_and_an_interrupted_wait_is_raised(install):
    install(
        (NetworkCall.EPOLL_ADD, 1, Failure(errno.ENOSPC)),
        (NetworkCall.EPOLL_MODIFY, 1, Failure(errno.ENOMEM)),
        (NetworkCall.EPOLL_WAIT, 1, Failure(errno.EINTR)),
    )
    epoll = loop.select.epoll()
    reader, writer = os.pipe()
    with pytest.raises(OSError, match="No space left"):
        epoll.register(reader, select.EPOLLIN)
    epoll.register(reader, 0)
    with pytest.raises(OSError, match="Cannot allocate"):
        epoll.modify(reader, select.EPOLLIN)
    epoll.modify(reader, select.EPOLLIN)
    os.write(writer, b"x")
    with pytest.raises(InterruptedError):
        epoll.poll(0)
    assert epoll.poll(0) == [(reader, select.EPOLLIN)]
    epoll.close()
    os.close(reader)
    os.close(writer)


def test_a_wake_up_pipe_has_faults_of_its_own_and_never_breaks(install):
    install((NetworkCall.PIPE_READ, 1, Failure(errno.EAGAIN)))
    reader, writer = signals.os.pipe2(os.O_NONBLOCK)
    os.write(writer, b"x")
    with pytest.raises(BlockingIOError):
        signals.os.read(reader, 9)
    assert signals.os.read(reader, 9) == b"x"
    signals.os.close(reader)
    os.close(writer)


def test_datagrams_fail_and_are_never_short(install):
    install(
        (NetworkCall.RECV_DATAGRAM, 1, Failure(errno.ENOMEM)),
        (NetworkCall.SEND_DATAGRAM, 1, Failure(errno.EPERM)),
        (NetworkCall.RECV, 1, ShortTransfer(1)),
        (NetworkCall.SEND, 1, ShortTransfer(1)),
    )
    sock = datagrams.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    with pytest.raises(PermissionError):
        sock.sendto(b"data", sock.getsockname())
    sock.sendto(b"data", sock.getsockname())
    with pytest.raises(OSError, match="Cannot allocate"):
        sock.recv(100)
    assert sock.recv(100) == b"data"
    sock.close()


def test_the_wall_clock_is_stepped_where_modules_read_it_and_monotonic_time_is_not(install):
    faults = install((NetworkCall.WALL_CLOCK, 2, ClockStep(-3600 * SECOND)))
    wall = MemberConverter.__init__.__defaults__[0]
    before, stepped = wall(), wall()
    assert -3600 * SECOND <= stepped - before < -3599 * SECOND
    faults.wall_clock.step(7200 * SECOND)
    assert wall() - before >= 3600 * SECOND
    made = Loop()
    assert abs(made.now() - time.monotonic_ns()) < SECOND
    made.close()


def test_the_catalogue_names_only_calls_that_there_are_and_an_errno_for_each_that_fails():
    assert set(FAULTS) <= set(NetworkCall)
    assert set(NetworkCall) - set(FAULTS) == {NetworkCall.EPOLL_DELETE}  # documented to fail only by misuse


def test_far_ends_are_untouched(install):
    install(
        (NetworkCall.SOCKET, 1, Failure(errno.EMFILE)),
        (NetworkCall.ACCEPT, 1, Failure(errno.EMFILE)),
        (NetworkCall.SEND, 1, Failure(errno.ECONNRESET)),
    )
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
        server.accept()[0] as accepted,
    ):
        client.send(b"x")
        assert accepted.recv(1) == b"x"
