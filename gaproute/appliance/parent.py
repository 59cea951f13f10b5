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

from gaproute.config import ConfigurationError, read_configuration
from gaproute.decisions.admission.restarts import RestartBackoff
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import address
from gaproute.loop.descriptors import READ
from gaproute.loop.faults import Backoff, cause_of
from gaproute.loop.listening import open_listening_socket
from gaproute.loop.starting import retry_time
from gaproute.telemetry.logs import logger

MILLI, SECOND = 1_000_000, 1_000_000_000
RELOAD_FIRST, RELOAD_LONGEST = 50 * MILLI, SECOND  # between tries to reload, or to start a child
CHILD_TRIES = 8  # to start a child of a new configuration, some 4 s in all
READY_TIME = 30 * SECOND  # for a child to start, on a crowded machine


class Child:
    """One process. `ready` is settled with True when it serves, with False when it ended before; `ended` when
    it is no more."""

    def __init__(self, loop, command, descriptors):
        self.loop, self.started = loop, loop.now()
        self.ready, self.ended = Promise(), Promise()
        self.process = self.life = self.told = self.pid = self.timer = None
        try:
            self._start(command, descriptors)
        except OSError:
            self._clear()
            raise

    def _start(self, command, descriptors):
        life, self.life = os.pipe2(os.O_CLOEXEC)  # its end tells the child that the parent is gone
        says = None
        try:
            self.told, says = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
            for fd in (life, says, *descriptors):
                os.set_inheritable(fd, True)
            self.process = subprocess.Popen(
                [*command, "--life", str(life), "--ready", str(says)], pass_fds=(life, says, *descriptors)
            )
        finally:
            os.close(life)
            if says is not None:
                os.close(says)
        self.pid = os.pidfd_open(self.process.pid)
        self.loop.watch(self.pid, READ, self._over)
        self.loop.watch(self.told, READ, self._said)
        self.timer = self.loop.after(READY_TIME, self.kill)

    def _clear(self):
        """It could not be started: nothing of it is left."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._forget_pid()
        self._end_life()
        self._hush()

    def _said(self, events):
        try:
            said = os.read(self.told, 16)
        except (BlockingIOError, InterruptedError):
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
        self._forget_pid()
        self._end_life()
        self._hush()
        self.timer.cancel()
        self.ready.set(False)
        self.ended.set(self.process.returncode)

    def _forget_pid(self):
        if self.pid is not None:
            self.loop.unwatch(self.pid)
            os.close(self.pid)
            self.pid = None

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

    def __init__(self, file, configuration, count, seed=None, loop=None, log=None):
        self.file, self.configuration, self.count, self.seed = file, configuration, count, seed
        self.loop = loop or Loop()
        self.log = log or logger(level=configuration.log_level).bind(gateway=f"{configuration.name}, parent")
        self.restarts = RestartBackoff(Chance(os.getpid() if seed is None else seed))
        self.children = {}  # seat: Child
        self.sockets = {}  # address as configured: its listening socket
        self.stopping = self.rolling = False
        self.again = False  # a reload was asked for while one was under way
        self.retry = None  # timer of a reload that failed for a moment

    def open(self, configuration):
        """The listening sockets of a configuration; those that stand already stay. Errors: OSError."""
        wanted = [where for kind, where in configuration.listens if kind == "kserve"]
        fresh = {}
        try:
            for where in wanted:
                if where not in self.sockets:
                    fresh[where] = open_listening_socket(address(where))
        except OSError:
            for sock in fresh.values():
                sock.close()
            raise
        self.sockets |= fresh
        return {where: self.sockets[where] for where in wanted}

    def start(self):
        """Errors: OSError where an address cannot be listened on, or a child cannot be started; it may be
        called again then."""
        self.open(self.configuration)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)
        for seat in range(self.count):
            if seat not in self.children:
                self._start(seat)
        self.log.info(
            "parent started", processes=self.count, listens=[told(sock) for sock in self.sockets.values()]
        )

    def _start(self, seat):
        sockets = self.open(self.configuration)
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
        when = self.restarts.schedule_restart(now, seat, now - child.started)
        self.log.warning("child died", seat=seat, code=code, again_ms=(when - now) // MILLI)
        self.loop.at(when, self._back, seat)

    def _back(self, seat):
        if self.stopping or seat in self.children or len(self.children) >= self.count:
            return
        try:
            self._start(seat)
        except OSError as fault:
            now = self.loop.now()
            when = self.restarts.schedule_restart(now, seat, 0)
            self.log.warning("child not started", seat=seat, error=str(fault), again_ms=(when - now) // MILLI)
            self.loop.at(when, self._back, seat)

    # Reload

    def reload(self):
        """Reads the configuration again; a wrong one is logged and nothing changes. What may pass by itself
        is tried again for a while first."""
        if self.rolling:
            self.again = True
            return
        self._reload(Backoff(RELOAD_FIRST, RELOAD_LONGEST), self.loop.now())

    def _reload(self, backoff, began):
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        if self.rolling or self.stopping:
            return
        try:
            configuration = read_configuration(self.file)
            before = set(self.sockets)
            self.open(configuration)
        except (ConfigurationError, OSError) as wrong:
            if self.loop.now() + backoff.pause <= began + retry_time(cause_of(wrong)):
                self.retry = self.loop.after(backoff.next_pause(), self._reload, backoff, began)
            else:
                self._refuse(wrong)
            return
        self.rolling = True
        self.loop.spawn(self._roll(configuration, before))

    def _refuse(self, wrong):
        for mistake in wrong.mistakes if isinstance(wrong, ConfigurationError) else [wrong]:
            self.log.error("configuration refused", mistake=str(mistake))

    def _started(self, seat):
        """A new child of the seat, tried again where that fails; None in the end."""
        backoff = Backoff(RELOAD_FIRST, RELOAD_LONGEST)
        for _ in range(CHILD_TRIES):
            try:
                return self._start(seat)
            except OSError as fault:
                self.log.warning("child not started", seat=seat, error=str(fault))
            yield self.loop.sleep(backoff.next_pause())
            if self.stopping:
                break
        return None

    def _roll(self, configuration, before):
        """Each child in turn: a new one beside it, and only when that serves is the old one asked to end."""
        was, self.configuration = self.configuration, configuration
        for seat in sorted(self.children):
            if self.stopping:
                break
            free = next(number for number in range(self.count + 1) if number not in self.children)
            fresh = yield from self._started(free)
            served = fresh is not None and (yield fresh.ready)
            if not served:
                self.log.error("roll given up: the new configuration does not start", seat=free)
                self.configuration = was
                break
            old = self.children.pop(seat, None)
            if old is not None:
                old.stop()
                yield old.ended
        else:
            self.log.info("rolled", processes=len(self.children))
            wanted = {where for kind, where in configuration.listens if kind == "kserve"}
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
