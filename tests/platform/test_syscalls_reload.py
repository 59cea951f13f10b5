"""The peers' socket and the reload of the platform's gateway while system calls fail for a moment."""

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
def test_peers_that_cannot_be_heard_at_the_start_are_heard_later(gate, monkeypatch, name, code):
    made = gate(clock=Handed(), peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    monkeypatch.setattr(datagrams, "socket", FailingSocketModule(name, *[code] * 3))
    made.process.peers.open()
    assert made.process.peers.datagrams is None
    for _ in range(30):
        made.passes(50 * MILLI)
    assert made.process.peers.datagrams is not None
    assert made.process.peers.retry_timer is None
    assert [what for what, _ in made.lines if "peer_socket" in what] == [
        "peer_socket_unavailable",
        "peer_socket_bound",
    ]
    made.process.core.broadcast(b"x")


def test_peers_that_can_never_be_heard_are_tried_less_and_less_often_and_logged_once(gate, monkeypatch):
    made = gate(clock=Handed(), peer_listen="127.0.0.1:0", peers_all="127.0.0.1:9")
    sockets = FailingSocketModule("socket", *[errno.EMFILE] * 999)
    monkeypatch.setattr(datagrams, "socket", sockets)
    made.process.peers.open()
    for _ in range(60):
        made.passes(MAX_BIND_BACKOFF // 5)
    assert 15 <= sockets.socket.failed <= 25
    assert [what for what, _ in made.lines].count("peer_socket_unavailable") == 1


def test_datagrams_that_cannot_be_watched_leave_no_descriptor(monkeypatch):
    loop = Loop()
    before = open_descriptors()
    monkeypatch.setattr(loop, "watch", Failing(loop.watch, errno.EPERM))
    with pytest.raises(PermissionError) as raised:  # its traceback holds the socket, which is not left to the
        datagrams.DatagramSocket(loop, "127.0.0.1:0", lambda data: None)  # garbage collector
    assert open_descriptors() == before
    assert raised.tb is not None
    loop.close()


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOMEM, errno.EINTR, errno.EIO])
def test_a_reload_that_cannot_be_read_is_tried_again_less_and_less_often(gate, monkeypatch, code):
    made = gate(clock=Handed())
    made.configuration["changelog"] = "127.0.0.1:9"
    made.write()
    failing = Failing(builtins.open, *[code] * 999)
    monkeypatch.setattr(platform_configuration, "open", failing, raising=False)
    made.process.reload()
    made.passes(READ_BACKOFF)
    made.passes(2 * READ_BACKOFF)
    assert failing.failed == 3
    for _ in range(MAX_READ_BACKOFF // READ_BACKOFF):
        made.passes(READ_BACKOFF)
    assert 4 <= failing.failed <= 6
    failing.codes.clear()
    made.passes(MAX_READ_BACKOFF)
    made.passes(MAX_READ_BACKOFF)
    assert made.process.configuration.changelog == "127.0.0.1:9"
    assert made.process.reloader.retry_timer is None


def test_a_reload_that_is_rejected_is_not_tried_again(gate):
    made = gate(clock=Handed())
    made.path.write_text("no JSON")
    made.process.reload()
    assert made.lines[-1][0] == "configuration_rejected"
    assert made.process.reloader.retry_timer is None
