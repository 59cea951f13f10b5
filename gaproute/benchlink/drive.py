"""Drives one gateway's generators by the wire's events and collects the actions to be written."""

from gaproute.benchlink import wire
from gaproute.core.driver import Driver


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
            self.wait_elapsed(key, now)

    def cancel_wait(self, key):
        self.waits.pop(key, None)

    def wait(self, key, until, now):
        self.alarms += 1
        self.waits[key] = str(self.alarms)
        self.lines.append(f"WAKE_AT {wire.millis(max(0, until - now))} {key}|{self.alarms}")

    def start_attempt(self, key, number, attempt, now):
        self.lines.append(f"ATTEMPT {key} {attempt.host} 0")

    def cancel(self, key, number):
        self.lines.append(f"RECALL {key} {number}")

    def order(self, worker, function, copies):
        self.lines.append(f"HOLD_THERE {worker} {copies} {function}")

    def probe(self, worker):
        self.lines.append(f"SAMPLE {worker}")

    def broadcast(self, payload):
        self.lines.append(f"SAY all {payload.hex()}")

    def watch_hosts(self):
        self.lines.append("LISTEN 1")

    def reject(self, key, rejection):
        self.lines.append(f"BOUNCE {key} {wire.millis(rejection.retry_after)}")

    def fail(self, key):
        self.lines.append(f"LOSE {key}")
