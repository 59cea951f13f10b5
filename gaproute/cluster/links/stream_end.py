"""The two ends of one connection through the wire: what is read at one is given to the other when it is due.

Bytes, the end of sending and a reset travel the same queue in their order. An end is not read while too much
waits for the other, so that a slow reader holds its writer back as it would without the wire.
"""

import errno
import select
import socket
import struct
from collections import deque

from gaproute.cluster.links.conditions import HELD
from gaproute.loop.descriptors import HANGUP, READ, WRITE

CHUNK = 65536  # bytes read in one call
HIGH, LOW = 1 << 18, 1 << 16  # bytes under way in one direction: reading stops above, goes on below
END, RESET = b"", None  # in the place of bytes: no more will be sent; the connection was broken off
AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: a close then sends a reset


class StreamEnd:
    """One socket. `a`, `b`: what is read here travels from seat `a` to seat `b`, to the StreamEnd `other`."""

    __slots__ = (
        "relay",
        "loop",
        "weather",
        "sock",
        "fd",
        "a",
        "b",
        "other",
        "queue",
        "queued",
        "last",
        "timer",
        "out",
        "waiting",
        "mask",
        "open",
        "paused",
        "finished",
        "ending",
        "shut",
        "broken",
    )

    def __init__(self, relay, sock, a, b):
        self.relay, self.loop, self.weather = relay, relay.streams.loop, relay.streams.weather
        self.sock, self.fd, self.a, self.b = sock, sock.fileno(), a, b
        self.queue, self.queued, self.last, self.timer = deque(), 0, 0, None  # read here: [due, bytes]
        self.out, self.waiting = deque(), 0  # to be written here
        self.open, self.paused, self.broken = True, False, False
        self.finished = False  # the end of what is sent to us was read
        self.ending = self.shut = False  # the end of what we send is to be said; has been
        self.mask = READ
        self.loop.watch(self.fd, READ, self._ready)

    def _ready(self, events):
        if events & WRITE and self.out:
            self._flush()
        if not self.open or not events & (READ | HANGUP):
            return
        if not self.paused and not self.finished:
            self._read()
        elif events & select.EPOLLERR or self.broken:
            self._gone()
        elif events & HANGUP:  # both ways are shut, and something lies unread: no news until it is read
            self.loop.unwatch(self.fd)
            self.mask = None

    def _read(self):
        try:
            data = self.sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._gone()
            return
        if data:
            self.relay.carried += len(data)
            self.relay.streams.pieces += 1
            self._arrived(data)
        elif self.broken:
            self._gone()
        else:
            self.finished = True
            self._watch()
            self._arrived(END)
            if self.shut:
                self.close()

    def _gone(self):
        self.close()
        if self.other.open:
            self._arrived(RESET)

    # On the way

    def _arrived(self, data):
        weather = self.weather
        if not self.queue and not (weather.faults and weather.over(self.a, self.b)[0]):
            self.other.give(data)
        else:
            size = len(data) if data else 0
            if self.queue and self.queue[-1][0] is HELD:
                due = HELD  # behind what is kept, even if `changed` has yet to let it go
            else:
                due = weather.stream(self.a, self.b, size, self.loop.now(), self.last)
            self.queue.append([due, data])
            self.queued += size
            if due is not HELD:
                self.last = due
                if self.timer is None:
                    self.timer = self.loop.at(self.queue[0][0], self._release)
        if self.queued + self.other.waiting > HIGH and not self.paused:
            self.paused = True
            self._watch()

    def _release(self):
        self.timer = None
        if self.weather.keeps(self.a, self.b):
            return  # a cut came over what was under way: `changed` goes on
        now, queue = self.loop.now(), self.queue
        while queue and queue[0][0] <= now:
            due, data = queue.popleft()
            self.queued -= len(data) if data else 0
            self.relay.streams.lateness.left(due, now)
            self.other.give(data)
        if queue:
            self.timer = self.loop.at(queue[0][0], self._release)
        self.room()

    def changed(self):
        """The weather has changed: what was kept back and is no longer flows on, in its order."""
        if not self.queue or self.weather.keeps(self.a, self.b):
            return
        last = self.loop.now()
        for entry in self.queue:
            last = entry[0] = last if entry[0] is HELD else max(last, entry[0])
        self.last = last
        if self.timer is not None:
            self.timer.cancel()
        self._release()

    def room(self):
        """Reads on if enough of what was read here has been taken over there."""
        if self.paused and self.queued + self.other.waiting < LOW:
            self.paused = False
            self._watch()

    # Out

    def give(self, data):
        """Writes bytes, END or RESET here, as much as is taken; the rest follows."""
        if data is RESET:
            self.relay.reset()
        elif not self.open or self.broken:
            return
        elif not data:
            self.ending = True
            if not self.out:
                self._say_end()
        elif self.out:
            self.out.append(data)
            self.waiting += len(data)
        else:
            sent = self._send(data)
            if sent < len(data):
                self.out.append(memoryview(data)[sent:])
                self.waiting += len(data) - sent
                self._watch()

    def _send(self, data):
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._broke()
            return len(data)

    def _broke(self):
        """It takes no more. What it sent before is read first, then `_read` finds the reset or the end."""
        self.broken = True
        self.out.clear()
        self.waiting = 0
        if self.finished:
            self.loop.soon(self._gone_if_open)
        else:
            self._watch()

    def _gone_if_open(self):
        if self.open:
            self._gone()

    def _flush(self):
        while self.out:
            sent = self._send(self.out[0])
            if self.broken:
                break
            self.waiting -= sent
            if sent < len(self.out[0]):
                self.out[0] = memoryview(self.out[0])[sent:]
                break
            self.out.popleft()
        else:
            self._watch()
            if self.ending:
                self._say_end()
        self.other.room()

    def _say_end(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as fault:
            if fault.errno != errno.ENOTCONN:
                raise
            self._broke()
            return
        self.shut = True
        if self.finished:
            self.close()

    # The descriptor

    def _watch(self):
        mask = (0 if self.paused or self.finished else READ) | (WRITE if self.out else 0)
        if self.open and mask != self.mask:
            if self.mask is None:
                self.loop.watch(self.fd, mask, self._ready)
            else:
                self.loop.rewatch(self.fd, mask)
            self.mask = mask

    def close(self, reset=False):
        if self.open:
            self.open = False
            self.out.clear()
            self.waiting = 0
            self.loop.unwatch(self.fd)
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            self.sock.close()
            if self.other.open:
                self.other.room()
            else:
                self.relay.over()

    def forget(self):
        """Nothing more is given to the other end."""
        self.queue.clear()
        self.queued = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
