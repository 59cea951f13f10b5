"""The peer socket and the reload of the platform's gateway while system calls fail temporarily."""

import builtins
import errno

import pytest
from failing import SHORT_OF_RESOURCES, Failing, FailingSocketModule, open_descriptors
from scripted import MILLI, Handed

from gaproute.loop import Loop, datagrams
from gaproute.platform import configuration as platform_configuration
from gaproute.platform.peers import MAX_BIND_BACKOFF
from gaproute.platform.reload import MAX_READ_BACKOFF, READ_BACKOFF


@pytest.mark.parametrize("code", [*SHORT_OF_RESOURCES, errno.EADDRINUSE])
@pytest.mark.parametrize("name", ["socket", "bind"])
def test_the_peer_socket_is_bound_later_if_binding_first_fails(gate, monkeypatch, name, code):
    gateway = gate(clock=Handed(), peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    monkeypatch.setattr(datagrams, "socket", FailingSocketModule(name, *[code] * 3))
    gateway.process.peer_reports.open()
    assert gateway.process.peer_reports.datagrams is None
    for _ in range(30):
        gateway.passes(50 * MILLI)
    assert gateway.process.peer_reports.datagrams is not None
    assert gateway.process.peer_reports.retry_timer is None
    assert [event_name for event_name, _ in gateway.lines if "peer_socket" in event_name] == [
        "peer_socket_unavailable",
        "peer_socket_bound",
    ]
    gateway.process.core.broadcast(b"x")


def test_a_peer_socket_that_always_fails_is_retried_with_backoff_and_logged_once(gate, monkeypatch):
    gateway = gate(clock=Handed(), peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    sockets = FailingSocketModule("socket", *[errno.EMFILE] * 999)
    monkeypatch.setattr(datagrams, "socket", sockets)
    gateway.process.peer_reports.open()
    for _ in range(60):
        gateway.passes(MAX_BIND_BACKOFF // 5)
    assert 15 <= sockets.socket.failed <= 25
    assert [event_name for event_name, _ in gateway.lines].count("peer_socket_unavailable") == 1


def test_a_datagram_socket_that_epoll_rejects_leaks_no_descriptor(monkeypatch):
    loop = Loop()
    before = open_descriptors()
    monkeypatch.setattr(loop, "watch", Failing(loop.watch, errno.EPERM))
    # The traceback refers to the socket, so the garbage collector cannot be what closes the socket.
    with pytest.raises(PermissionError) as raised:
        datagrams.DatagramSocket(loop, "127.0.0.1:0", lambda data: None)
    assert open_descriptors() == before
    assert raised.tb is not None
    loop.close()


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_a_reload_that_fails_to_read_the_file_is_retried_with_backoff(gate, monkeypatch, code):
    gateway = gate(clock=Handed())
    gateway.configuration["changelog"] = "127.0.0.1:9"
    gateway.write()
    failing = Failing(builtins.open, *[code] * 999)
    monkeypatch.setattr(platform_configuration, "open", failing, raising=False)
    gateway.process.reload()
    gateway.passes(READ_BACKOFF)
    gateway.passes(2 * READ_BACKOFF)
    assert failing.failed == 3
    for _ in range(MAX_READ_BACKOFF // READ_BACKOFF):
        gateway.passes(READ_BACKOFF)
    assert 4 <= failing.failed <= 6
    failing.codes.clear()
    gateway.passes(MAX_READ_BACKOFF)
    gateway.passes(MAX_READ_BACKOFF)
    assert gateway.process.configuration.changelog == "127.0.0.1:9"
    assert gateway.process.reloader.retry_timer is None


def test_a_reload_of_an_invalid_file_is_not_retried(gate):
    gateway = gate(clock=Handed())
    gateway.path.write_text("no JSON")
    gateway.process.reload()
    assert gateway.lines[-1][0] == "configuration_rejected"
    assert gateway.process.reloader.retry_timer is None
