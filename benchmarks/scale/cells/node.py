"""One gateway of a play: drives its decisions and carries out their wishes on the play's net."""

from gaproute import interface as face
from gaproute.decisions.cells.entries import CellUnknown, ForwardAttempt


class Held:
    """A task in hand."""

    def __init__(self, task, serve, finish, end, forwarded):
        self.task, self.serve, self.finish, self.end = task, serve, finish, end
        self.forwarded = forwarded  # what another gateway told that sent it; None: a client did
        self.relays, self.out, self.wait = 0, {}, 0


class Node:
    """`gateway`: the decisions; `world` carries relays and forwards."""

    def __init__(self, world, name, zone, gateway):
        self.world, self.name, self.zone, self.gateway = world, name, zone, gateway
        self.held, self.up, self.keeper = {}, True, None

    def take(self, task, finish, forwarded=None):
        """A task from a client, or from another gateway; `finish(ending, outcome, end)` once."""
        now = self.world.clock.now
        held = Held(task, self._serve(now, task, forwarded), finish, now + task.time_left, forwarded)
        self.held[task.id] = held
        self.world.clock.at(held.end, self._time_up, held)
        self._advance(held, None)

    def _serve(self, now, task, forwarded):
        return self.gateway.serve(now, task, forwarded) if forwarded else self.gateway.serve(now, task)

    def housekeep(self):
        """Begin, or go on with, what is done beside the tasks."""
        now = self.world.clock.now
        if not self.up:
            return
        if self.keeper is None:
            self.keeper = self.gateway.housekeep(now)
            wish = next(self.keeper)
        else:
            wish = self.keeper.send((now, None))
        while not isinstance(wish, face.Wait):
            wish = self.keeper.send(None)
        self.world.clock.at(wish.until, self.housekeep)

    def housekeep_anew(self):
        """Begin again after the gateway was down."""
        self.keeper = None
        self.housekeep()

    def _advance(self, held, value):
        while True:
            try:
                wish = held.serve.send(value)
            except StopIteration:
                return
            value = None
            self.world.check(self, held.task, wish)
            match wish:
                case face.Wait(until):
                    held.wait += 1
                    self.world.clock.at(until, self._woken, held, held.wait)
                    return
                case face.Attempt():
                    value = self._relay(held, wish)
                case face.Cancel(relay):
                    if relay in held.out:
                        self.world.clock.at(
                            self.world.clock.now, self.answered, held, relay, face.Result.CANCELLED
                        )
                case CellUnknown(_, why) if held.forwarded is not None:
                    self._end(held, "unknown", why.value)
                case face.Reject(_, why):
                    self._end(held, "declined", why.value)
                case face.Fail():
                    self._end(held, "scrapped", "")
                case face.LoadOrder(worker, function, _):
                    self.gateway.load_order_ended(self.world.clock.now, worker, function, face.Result.OK, 1)

    def _relay(self, held, wish):
        relay = held.relays
        held.relays += 1
        held.out[relay] = wish.host, self.world.clock.now
        self.world.counts["relays"] += 1
        if isinstance(wish, ForwardAttempt):
            self.world.forward(self, held, relay, wish)
        else:
            self.world.to_host(self, held, relay, wish.host)
        return relay

    def answered(self, held, relay, result, found=face.Found.UNKNOWN, report=None):
        """What came of a relay; a second answer of one, or one to a gateway that is down, is dropped."""
        if not self.up or relay not in held.out:
            return
        worker, sent = held.out.pop(relay)
        now = self.world.clock.now
        if result is face.Result.OK and held.finish is not None:
            self._end(held, "delivered", "", found)
        ended = held.finish is None
        outcome = face.Outcome(held.task.id, relay, worker, result, now - sent, ended, found, None, report)
        self.gateway.attempt_ended(now, outcome)
        held.wait += 1
        self._advance(held, (now, outcome))
        self._forget(held)

    def _woken(self, held, wait):
        if self.up and held.wait == wait:
            self._advance(held, (self.world.clock.now, None))
            self._forget(held)

    def _time_up(self, held):
        if not self.up:
            return
        for relay in list(held.out):
            self.answered(held, relay, face.Result.TIMEOUT)
        if held.finish is not None:
            self._end(held, "scrapped", "time up")
        self._forget(held)

    def _end(self, held, ending, why, found=face.Found.UNKNOWN):
        finish, held.finish = held.finish, None
        if finish is not None:
            finish(ending, why, found)

    def _forget(self, held):
        if held.finish is None and not held.out:
            held.serve.close()
            self.held.pop(held.task.id, None)
