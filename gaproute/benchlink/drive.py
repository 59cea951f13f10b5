"""Drives one gateway's generators by the wire's events and collects the actions to be written."""

from gaproute.benchlink import wire
from gaproute.core.drive import Driver


class Instance(Driver):
    """One gateway on the wire: its wishes become lines; timers cannot be taken back there, so they are
    numbered."""

    def __init__(self, make, seed, terms, now):
        super().__init__(make(seed, terms, now))
        self.counts = terms.same_function_counted
        self.waits = {}  # generator's key: number of its current wait
        self.alarms = 0
        self.lines = []

    def alarm(self, now, tag):
        key, _, number = tag.rpartition("|")
        if self.waits.get(key) == number:
            self.late(key, now)

    def unwait(self, key):
        self.waits.pop(key, None)

    def wait(self, key, until, now):
        self.alarms += 1
        self.waits[key] = str(self.alarms)
        self.lines.append(f"WAKE_AT {wire.millis(max(0, until - now))} {key}|{self.alarms}")

    def relay(self, key, number, worker, until, now):
        self.lines.append(f"ATTEMPT {key} {worker} 0")

    def cancel(self, key, number):
        self.lines.append(f"RECALL {key} {number}")

    def order(self, worker, function, copies):
        self.lines.append(f"HOLD_THERE {worker} {copies} {function}")

    def probe(self, worker):
        self.lines.append(f"SAMPLE {worker}")

    def tell(self, words):
        self.lines.append(f"SAY all {words.hex()}")

    def listen(self):
        self.lines.append("LISTEN 1")

    def decline(self, key, retry_after, why):
        self.lines.append(f"BOUNCE {key} {wire.millis(retry_after)}")

    def scrap(self, key):
        self.lines.append(f"LOSE {key}")
