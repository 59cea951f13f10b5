"""Drives one gateway's generators: the one way to do it, for the bench's wire and the running gateway
alike."""

from gaproute import interface as face


class Driver:
    """One gateway: its decision module and the tasks it holds. Whoever carries out wishes derives from it.

    A derived class gives `wait(key, until, now)`, which may overwrite an earlier wait of the key and calls
    `late` when the time has come, and `relay(key, number, worker, until, now)`, `cancel(key, number)`,
    `order(worker, function, copies)`, `probe(worker)`, `tell(words)`, `listen()`,
    `decline(key, retry_after, why)` and `scrap(key)`. The housekeeper's key is "".
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.tasks = {}  # task id: its generator
        self.relays = {}  # task id: relays started so far
        self.keeper = None

    def begin_housekeeping(self, now):
        if self.keeper is None:
            self.keeper = self.gateway.housekeep(now)
            self.advance("", self.keeper, None, now)

    def take(self, now, task):
        generator = self.serve(now, task)
        self.tasks[task.id] = generator
        self.relays[task.id] = 0
        self.advance(task.id, generator, None, now)

    def serve(self, now, task):
        """The task's generator."""
        return self.gateway.serve(now, task)

    def resume(self, key, now, outcome):
        generator = self.keeper if key == "" else self.tasks.get(key)
        if generator is not None:
            self.unwait(key)
            self.advance(key, generator, (now, outcome), now)

    def late(self, key, now):
        self.resume(key, now, None)

    def outcome(self, now, outcome):
        self.gateway.heard(now, outcome)
        self.resume(outcome.request, now, outcome)

    def send(self, key, number, wish, now):
        """Carry out a relay; who knows several kinds of them tells them apart here."""
        self.relay(key, number, wish.host, wish.until, now)

    def refuse(self, key, wish):
        """Carry out a decline; who knows several kinds of them tells them apart here."""
        self.decline(key, wish.retry_after, wish.reason)

    def departed(self, now, key):
        """The client left: the generator is told, and nothing more is owed."""
        if key in self.tasks:
            self.resume(
                key,
                now,
                face.Outcome(key, -1, "", face.Result.CLIENT_LEFT, 0, True, face.Found.UNKNOWN, None, None),
            )
            self.forget(key)

    def probed(self, now, worker, good, report):
        words = self.gateway.probed(now, worker, good, report)
        if words is not None:
            self.tell(words)

    def unwait(self, key):
        """The key's wait is over before its time."""

    def forget(self, key):
        self.tasks.pop(key, None)
        self.relays.pop(key, None)
        self.unwait(key)

    def advance(self, key, generator, value, now):
        """Resume a generator and carry out its wishes until it waits or ends."""
        while True:
            try:
                wish = generator.send(value)
            except StopIteration:
                self.forget(key)
                return
            value = None
            match wish:
                case face.Wait(until):
                    self.wait(key, until, now)
                    return
                case face.Attempt():
                    value = self.relays[key]
                    self.relays[key] += 1
                    self.send(key, value, wish, now)
                case face.Cancel(relay):
                    self.cancel(key, relay)
                case face.LoadOrder(worker, function, copies):
                    self.order(worker, function, copies)
                case face.Probe(worker):
                    self.probe(worker)
                case face.Reject():
                    self.refuse(key, wish)
                case face.Fail():
                    self.scrap(key)
                case face.PollHostList():
                    self.listen()
                case _:
                    raise TypeError(f"unknown wish {wish!r}")
