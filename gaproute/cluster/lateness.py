"""Whether the harness kept time: a wire, a client or a parent that ran late measured itself, not the
program."""

from statistics import median

from gaproute.scenarios.processes import MILLI

BEAT = 20 * MILLI  # between looks at the parent's own clock
PARENT = 500  # ms that the parent may be late whatever the script allows: it judges nobody, it
#                              begins and ends what strikes, and notes when; a later one plays another script
WAITED = 0.05  # share of the day for which the middle gateway may have been ready without core:
#                              beyond it the machine is measured, which other work or too many processes crowd


class HarnessLateness:
    def __init__(self, harness):
        self.harness, self.loop, self.parent, self.over = harness, harness.loop, 0, False
        self.waits, self.waited = {}, 0.0
        self.wires = []  # what each wire said at the end, None where it said nothing

    def begin(self):
        """A coroutine: watches the parent; what the wires had been late before the day is passed over."""
        self.harness.wires.say({"say": True})
        due = self.loop.now()
        self.waits = self.harness.gateways.waited()
        while not self.over:
            now = self.loop.now()
            self.parent = max(self.parent, now - due)
            due = now + BEAT
            self.harness.tap.flush()  # the folder tells of a run that is cut off as well
            yield self.loop.sleep(BEAT)

    def end(self):
        """A coroutine: before the gateways are asked to end."""
        self.over, self.harness.ended = True, self.loop.now()
        shares = [
            (wait - self.waits[pid][0]) / (now - self.waits[pid][1])
            for pid, (wait, now) in self.harness.gateways.waited().items()
            if pid in self.waits
        ]
        self.waited = median(shares) if shares else 0.0
        self.wires = yield from self.harness.wires.counts()

    def most(self):
        """{who: longest lateness, ms}"""
        done = [event["late"] for event in self.harness.clients.events() if event["what"] == "done"]
        hosts = [
            event["by"] for events in self.harness.hosts_seen() for event in events if event["what"] == "late"
        ]
        return {
            "parent": self.parent / MILLI,
            "clients": max(done, default=0) / MILLI,
            "hosts": max(hosts, default=0) / MILLI,
            "wires": max((told["late_ns"] for told in self.wires if told), default=0) / MILLI,
        }

    def void(self):
        """Why the measurement is void, as text."""
        harness, allowed = self.harness, self.harness.script.cluster.late / MILLI
        for who, late in self.most().items():
            most = max(allowed, PARENT) if who == "parent" and allowed else allowed
            if late > most:
                yield f"{who} ran up to {late:.0f} ms late, {most:.0f} ms are allowed"
        if self.waited > WAITED:
            yield (
                f"gateways were ready without a core for {self.waited:.0%} of the day, "
                f"{WAITED:.0%} are allowed"
            )
        if (
            sum(event["what"] == "done" for event in harness.clients.events())
            < harness.script.cluster.clients
        ):
            yield "clients did not end in time"
        for place, told in enumerate(self.wires):
            if told is None:
                yield f"wire {place} said nothing at the end"
            else:
                yield from (
                    f"wire {place}: {told[what]} {what}"
                    for what in ("overrun", "spilt", "errors", "breaches")
                    if told.get(what)
                )
        yield from (f"a wire did not follow: {error}" for error in harness.wires.errors[:3])
        if harness.ready_time is not None and harness.ready_time > harness.script.cluster.ready:
            yield (
                f"all were up after {harness.ready_time / 1e9:.0f} s, "
                f"{harness.script.cluster.ready / 1e9:.0f} are allowed"
            )
