"""Drives one gateway's generators: the one way to do it, for the bench's wire and the running gateway
alike."""

from gaproute import interface as face


class Driver:
    """One gateway: its decision module and the tasks it holds. Whoever carries out wishes derives from it.

    A derived class gives `wait(key, until, now)`, which may overwrite an earlier wait of the key and calls
    `wait_elapsed` when the time has come, and `relay(key, number, worker, until, now)`,
    `cancel(key, number)`, `order(worker, function, copies)`, `probe(worker)`, `broadcast(payload)`,
    `listen()`, `decline(key, stay_away, why)` and `fail(key)`. The housekeeper's key is "".
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.generators = {}  # task id: its generator
        self.attempt_counts = {}  # task id: relays started so far
        self.housekeeper = None

    def start_housekeeping(self, now):
        if self.housekeeper is None:
            self.housekeeper = self.gateway.housekeep(now)
            self.advance("", self.housekeeper, None, now)

    def start_request(self, now, task):
        generator = self.serve(now, task)
        self.generators[task.id] = generator
        self.attempt_counts[task.id] = 0
        self.advance(task.id, generator, None, now)

    def serve(self, now, task):
        """The task's generator."""
        return self.gateway.serve(now, task)

    def resume(self, key, now, outcome):
        generator = self.housekeeper if key == "" else self.generators.get(key)
        if generator is not None:
            self.cancel_wait(key)
            self.advance(key, generator, (now, outcome), now)

    def wait_elapsed(self, key, now):
        self.resume(key, now, None)

    def handle_outcome(self, now, outcome):
        self.gateway.heard(now, outcome)
        self.resume(outcome.task, now, outcome)

    def send(self, key, number, wish, now):
        """Carry out a relay; who knows several kinds of them tells them apart here."""
        self.relay(key, number, wish.worker, wish.until, now)

    def refuse(self, key, wish):
        """Carry out a decline; who knows several kinds of them tells them apart here."""
        self.decline(key, wish.stay_away, wish.why)

    def abandon(self, now, key):
        """The client left: the generator is told, and nothing more is owed."""
        if key in self.generators:
            self.resume(
                key,
                now,
                face.Outcome(key, -1, "", face.Result.DEPARTED, 0, True, face.Found.UNTOLD, None, None),
            )
            self.forget(key)

    def probe_answered(self, now, worker, good, report):
        payload = self.gateway.probed(now, worker, good, report)
        if payload is not None:
            self.broadcast(payload)

    def cancel_wait(self, key):
        """The key's wait is over before its time."""

    def forget(self, key):
        self.generators.pop(key, None)
        self.attempt_counts.pop(key, None)
        self.cancel_wait(key)

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
                    value = self.attempt_counts[key]
                    self.attempt_counts[key] += 1
                    self.send(key, value, wish, now)
                case face.Cancel(relay):
                    self.cancel(key, relay)
                case face.Order(worker, function, copies):
                    self.order(worker, function, copies)
                case face.Probe(worker):
                    self.probe(worker)
                case face.Reject():
                    self.refuse(key, wish)
                case face.Fail():
                    self.fail(key)
                case face.Listen():
                    self.listen()
                case _:
                    raise TypeError(f"unknown wish {wish!r}")
