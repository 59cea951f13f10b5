"""One parent, several gateways behind the same addresses: started, watched, started again, rolled one by one.

The parent opens the clients' listening sockets and hands them to each child, so that all accept from one
queue. Considered: SO_REUSEPORT, a queue for each. A child that stands still would then keep its share of the
new clients, and one that ends would reset those in its queue; with one queue the others take them.
`benchmarks/processes.py` has both. Each child is a gateway of its own: its own decisions, counts, ration,
operator and peers addresses.
"""

import os
import signal
import socket
import subprocess
import sys

from gaproute.config import Mistakes, read_charter
from gaproute.decisions.admission.restarts import Restarts
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop, Promise
from gaproute.loop.connecting import listening
from gaproute.loop.loop import READ
from gaproute.loop.streams import address
from gaproute.telemetry.logs import logger

MILLI, SECOND = 1_000_000, 1_000_000_000
READY_TIME = 30 * SECOND  # for a child to start, on a crowded machine


class Child:
    """One process. `ready` is settled with True when it serves, with False when it ended before; `ended` when
    it is no more."""

    def __init__(self, loop, command, descriptors):
        self.loop, self.started = loop, loop.now()
        self.ready, self.ended = Promise(), Promise()
        life, self.life = os.pipe2(os.O_CLOEXEC)  # its end tells the child that the parent is gone
        self.told, says = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        for fd in (life, says, *descriptors):
            os.set_inheritable(fd, True)
        try:
            self.process = subprocess.Popen(
                [*command, "--life", str(life), "--ready", str(says)], pass_fds=(life, says, *descriptors)
            )
        finally:
            os.close(life)
            os.close(says)
        self.pid = os.pidfd_open(self.process.pid)
        loop.watch(self.pid, READ, self._over)
        loop.watch(self.told, READ, self._said)
        self.timer = loop.after(READY_TIME, self.kill)

    def _said(self, events):
        try:
            said = os.read(self.told, 16)
        except BlockingIOError:
            return
        self._hush()
        if said:
            self.timer.cancel()
            self.ready.set(True)

    def _hush(self):
        if self.told is not None:
            self.loop.unwatch(self.told)
            os.close(self.told)
            self.told = None

    def _over(self, events):
        self.process.wait()
        self.loop.unwatch(self.pid)
        os.close(self.pid)
        self._end_life()
        self._hush()
        self.timer.cancel()
        self.ready.set(False)
        self.ended.set(self.process.returncode)

    def _end_life(self):
        if self.life is not None:
            os.close(self.life)
            self.life = None

    def stop(self):
        """It ends alone: the others go on accepting clients."""
        if not self.ended.ready:
            self.process.send_signal(signal.SIGTERM)

    def stop_last(self):
        """It ends with all others, so that nobody else takes the clients in the queue."""
        self._end_life()
        if not self.ready.ready:
            self.stop()  # it does not look at its life yet, and has accepted nobody

    def kill(self):
        if not self.ended.ready:
            self.process.kill()


class Parent:
    """`count` gateways by the configuration `file`; seats are numbered, one more than that for a roll."""

    def __init__(self, file, charter, count, seed=None, loop=None, log=None):
        self.file, self.charter, self.count, self.seed = file, charter, count, seed
        self.loop = loop or Loop()
        self.log = log or logger(level=charter.log_level).bind(gateway=f"{charter.name}, parent")
        self.restarts = Restarts(Chance(os.getpid() if seed is None else seed))
        self.children = {}  # seat: Child
        self.sockets = {}  # address as configured: its listening socket
        self.stopping = self.rolling = False
        self.again = False  # a reload was asked for while one was under way

    def open(self, charter):
        """The listening sockets of a charter; those that stand already stay. Errors: OSError."""
        wanted = [where for kind, where in charter.listens if kind == "kserve"]
        fresh = {}
        try:
            for where in wanted:
                if where not in self.sockets:
                    fresh[where] = listening(address(where))
        except OSError:
            for sock in fresh.values():
                sock.close()
            raise
        self.sockets |= fresh
        return {where: self.sockets[where] for where in wanted}

    def start(self):
        """Errors: OSError where an address cannot be listened on."""
        self.open(self.charter)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)
        for seat in range(self.count):
            self._start(seat)
        self.log.info(
            "parent started", processes=self.count, listens=[told(sock) for sock in self.sockets.values()]
        )

    def _start(self, seat):
        sockets = self.open(self.charter)
        command = [
            sys.executable,
            "-m",
            "gaproute",
            "serve",
            str(self.file),
            "--seat",
            str(seat),
            str(self.count),
        ]
        for where, sock in sockets.items():
            command += ["--inherited", f"{sock.fileno()}={where}"]
        if self.seed is not None:
            command += ["--seed", str(self.seed * 1000 + seat)]
        child = self.children[seat] = Child(self.loop, command, [sock.fileno() for sock in sockets.values()])
        child.ended.then(lambda promise: self._ended(seat, child, promise.value))
        return child

    def _ended(self, seat, child, code):
        if self.children.get(seat) is not child:
            return  # rolled out: its place is taken
        del self.children[seat]
        if self.stopping:
            if not self.children:
                self.loop.stop()
            return
        now = self.loop.now()
        when = self.restarts.died(now, seat, now - child.started)
        self.log.warning("child died", seat=seat, code=code, again_ms=(when - now) // MILLI)
        self.loop.at(when, self._back, seat)

    def _back(self, seat):
        if not self.stopping and seat not in self.children and len(self.children) < self.count:
            self._start(seat)

    # Reload

    def reload(self):
        """Reads the configuration again; a wrong one is logged and nothing changes."""
        if self.rolling:
            self.again = True
            return
        try:
            charter = read_charter(self.file)
            before = set(self.sockets)
            self.open(charter)
        except Mistakes as wrong:
            for mistake in wrong.mistakes:
                self.log.error("configuration refused", mistake=str(mistake))
            return
        except OSError as fault:
            self.log.error("configuration refused", mistake=str(fault))
            return
        self.rolling = True
        self.loop.spawn(self._roll(charter, before))

    def _roll(self, charter, before):
        """Each child in turn: a new one beside it, and only when that serves is the old one asked to end."""
        was, self.charter = self.charter, charter
        for seat in sorted(self.children):
            if self.stopping:
                break
            free = next(number for number in range(self.count + 1) if number not in self.children)
            fresh = self._start(free)
            served = yield fresh.ready
            if not served:
                self.log.error("roll given up: the new configuration does not start", seat=free)
                self.charter = was
                break
            old = self.children.pop(seat, None)
            if old is not None:
                old.stop()
                yield old.ended
        else:
            self.log.info("rolled", processes=len(self.children))
            wanted = {where for kind, where in charter.listens if kind == "kserve"}
            for where in before - wanted:
                self.sockets.pop(where).close()
        self.rolling = False
        if self.again and not self.stopping:
            self.again = False
            self.reload()

    # Stop

    def stop(self):
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", processes=len(self.children))
        for sock in self.sockets.values():
            sock.close()
        for child in self.children.values():
            child.stop_last()
        if not self.children:
            self.loop.stop()

    def run(self):
        self.loop.run()
        for child in self.children.values():
            child.kill()
        for sock in self.sockets.values():
            sock.close()
        for where in self.sockets:
            family, target = address(where)
            if family == socket.AF_UNIX and os.path.exists(target):
                os.unlink(target)
        self.log.info("parent stopped")


def told(sock):
    name = sock.getsockname()
    return f"unix:{name}" if sock.family == socket.AF_UNIX else f"{name[0]}:{name[1]}"
