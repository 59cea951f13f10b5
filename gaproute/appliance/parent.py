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
from gaproute.decisions.admission.restarts import Restarts
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop, Promise
from gaproute.loop.connecting import listening
from gaproute.loop.faults import Backoff, cause_of
from gaproute.loop.loop import READ
from gaproute.loop.starting import time_for
from gaproute.loop.streams import address
from gaproute.telemetry.logs import logger

MILLI, SECOND = 1_000_000, 1_000_000_000
MIN_BACKOFF, MAX_BACKOFF = 50 * MILLI, SECOND  # between tries to reload, or to start a child
MAX_START_ATTEMPTS = 8  # to start a child of a new configuration, some 4 s in all
MAX_START_TIME = 30 * SECOND  # for a child to start, on a crowded machine


class ChildProcess:
    """One process. `ready` is settled with True when it serves, with False when it ended before; `ended` when
    it is no more."""

    def __init__(self, loop, command, descriptors):
        self.loop, self.started = loop, loop.now()
        self.ready, self.ended = Promise(), Promise()
        self.process = self.liveness_pipe = self.ready_pipe = self.pidfd = self.timer = None
        try:
            self._start(command, descriptors)
        except OSError:
            self._clear()
            raise

    def _start(self, command, descriptors):
        life, self.liveness_pipe = os.pipe2(os.O_CLOEXEC)  # its end tells the child that the parent is gone
        says = None
        try:
            self.ready_pipe, says = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
            for fd in (life, says, *descriptors):
                os.set_inheritable(fd, True)
            self.process = subprocess.Popen(
                [*command, "--life", str(life), "--ready", str(says)], pass_fds=(life, says, *descriptors)
            )
        finally:
            os.close(life)
            if says is not None:
                os.close(says)
        self.pidfd = os.pidfd_open(self.process.pid)
        self.loop.watch(self.pidfd, READ, self._on_exit)
        self.loop.watch(self.ready_pipe, READ, self._on_ready)
        self.timer = self.loop.after(MAX_START_TIME, self.kill)

    def _clear(self):
        """It could not be started: nothing of it is left."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._close_pidfd()
        self._close_liveness_pipe()
        self._close_ready_pipe()

    def _on_ready(self, events):
        try:
            said = os.read(self.ready_pipe, 16)
        except (BlockingIOError, InterruptedError):
            return
        self._close_ready_pipe()
        if said:
            self.timer.cancel()
            self.ready.set(True)

    def _close_ready_pipe(self):
        if self.ready_pipe is not None:
            self.loop.unwatch(self.ready_pipe)
            os.close(self.ready_pipe)
            self.ready_pipe = None

    def _on_exit(self, events):
        self.process.wait()
        self._close_pidfd()
        self._close_liveness_pipe()
        self._close_ready_pipe()
        self.timer.cancel()
        self.ready.set(False)
        self.ended.set(self.process.returncode)

    def _close_pidfd(self):
        if self.pidfd is not None:
            self.loop.unwatch(self.pidfd)
            os.close(self.pidfd)
            self.pidfd = None

    def _close_liveness_pipe(self):
        if self.liveness_pipe is not None:
            os.close(self.liveness_pipe)
            self.liveness_pipe = None

    def stop(self):
        """It ends alone: the others go on accepting clients."""
        if not self.ended.ready:
            self.process.send_signal(signal.SIGTERM)

    def stop_with_all(self):
        """It ends with all others, so that nobody else takes the clients in the queue."""
        self._close_liveness_pipe()
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
        self.restarts = Restarts(Chance(os.getpid() if seed is None else seed))
        self.children = {}  # slot: ChildProcess
        self.sockets = {}  # address as configured: its listening socket
        self.stopping = self.rolling = False
        self.reload_requested = False  # a reload was asked for while one was under way
        self.reload_timer = None  # timer of a reload that failed for a moment

    def open(self, configuration):
        """The listening sockets of a configuration; those that stand already stay. Errors: OSError."""
        wanted = [where for kind, where in configuration.listens if kind == "kserve"]
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
        """Errors: OSError where an address cannot be listened on, or a child cannot be started; it may be
        called again then."""
        self.open(self.configuration)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)
        for slot in range(self.count):
            if slot not in self.children:
                self._start(slot)
        self.log.info(
            "parent started",
            processes=self.count,
            listens=[displayed_address(sock) for sock in self.sockets.values()],
        )

    def _start(self, slot):
        sockets = self.open(self.configuration)
        command = [
            sys.executable,
            "-m",
            "gaproute",
            "serve",
            str(self.file),
            "--seat",
            str(slot),
            str(self.count),
        ]
        for where, sock in sockets.items():
            command += ["--inherited", f"{sock.fileno()}={where}"]
        if self.seed is not None:
            command += ["--seed", str(self.seed * 1000 + slot)]
        child = self.children[slot] = ChildProcess(
            self.loop, command, [sock.fileno() for sock in sockets.values()]
        )
        child.ended.then(lambda promise: self._child_ended(slot, child, promise.value))
        return child

    def _child_ended(self, slot, child, code):
        if self.children.get(slot) is not child:
            return  # rolled out: its place is taken
        del self.children[slot]
        if self.stopping:
            if not self.children:
                self.loop.stop()
            return
        now = self.loop.now()
        when = self.restarts.died(now, slot, now - child.started)
        self.log.warning("child died", seat=slot, code=code, again_ms=(when - now) // MILLI)
        self.loop.at(when, self._restart, slot)

    def _restart(self, slot):
        if self.stopping or slot in self.children or len(self.children) >= self.count:
            return
        try:
            self._start(slot)
        except OSError as fault:
            now = self.loop.now()
            when = self.restarts.died(now, slot, 0)
            self.log.warning("child not started", seat=slot, error=str(fault), again_ms=(when - now) // MILLI)
            self.loop.at(when, self._restart, slot)

    # Reload

    def reload(self):
        """Reads the configuration again; a wrong one is logged and nothing changes. What may pass by itself
        is tried again for a while first."""
        if self.rolling:
            self.reload_requested = True
            return
        self._reload(Backoff(MIN_BACKOFF, MAX_BACKOFF), self.loop.now())

    def _reload(self, backoff, began):
        if self.reload_timer is not None:
            self.reload_timer.cancel()
            self.reload_timer = None
        if self.rolling or self.stopping:
            return
        try:
            configuration = read_configuration(self.file)
            before = set(self.sockets)
            self.open(configuration)
        except (ConfigurationError, OSError) as wrong:
            if self.loop.now() + backoff.pause <= began + time_for(cause_of(wrong)):
                self.reload_timer = self.loop.after(backoff.next(), self._reload, backoff, began)
            else:
                self._log_rejection(wrong)
            return
        self.rolling = True
        self.loop.spawn(self._roll(configuration, before))

    def _log_rejection(self, wrong):
        for mistake in wrong.mistakes if isinstance(wrong, ConfigurationError) else [wrong]:
            self.log.error("configuration refused", mistake=str(mistake))

    def _start_with_retries(self, slot):
        """A new child of the slot, tried again where that fails; None in the end."""
        backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF)
        for _ in range(MAX_START_ATTEMPTS):
            try:
                return self._start(slot)
            except OSError as fault:
                self.log.warning("child not started", seat=slot, error=str(fault))
            yield self.loop.sleep(backoff.next())
            if self.stopping:
                break
        return None

    def _roll(self, configuration, before):
        """Each child in turn: a new one beside it, and only when that serves is the old one asked to end."""
        was, self.configuration = self.configuration, configuration
        for slot in sorted(self.children):
            if self.stopping:
                break
            free = next(number for number in range(self.count + 1) if number not in self.children)
            fresh = yield from self._start_with_retries(free)
            served = fresh is not None and (yield fresh.ready)
            if not served:
                self.log.error("roll given up: the new configuration does not start", seat=free)
                self.configuration = was
                break
            old = self.children.pop(slot, None)
            if old is not None:
                old.stop()
                yield old.ended
        else:
            self.log.info("rolled", processes=len(self.children))
            wanted = {where for kind, where in configuration.listens if kind == "kserve"}
            for where in before - wanted:
                self.sockets.pop(where).close()
        self.rolling = False
        if self.reload_requested and not self.stopping:
            self.reload_requested = False
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
            child.stop_with_all()
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


def displayed_address(sock):
    name = sock.getsockname()
    return f"unix:{name}" if sock.family == socket.AF_UNIX else f"{name[0]}:{name[1]}"
