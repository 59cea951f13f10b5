"""What gateways tell each other of workers' loads: decisions only, no sockets, chance handed in.

Where a gateway sees few tasks it can pay for few probes, and its reports are old before they are used. All
see the same workers, so each probes the one of which it heard longest ago, and tells the report to all
others. A report tells only of load: whoever hears none goes by its own probes and tasks as before. It gives
no credit, orders nothing and lifts no limit.
"""

from gaproute.decisions.reports.load_report_codec import LoadReportCodec

WORTH = 0.006  # of the result: what probes and reports told may cost together
SAVED = 4  # probes that tasks may save up: after a rest no burst, at a steady pace no gap
AMONG = 4  # the part of the fleet of which was heard longest ago, by chance among which one is
#                          probed: gateways hear the same, and must not all ask the same worker at one moment
MESSAGE = 256  # bytes that the price counts as one


class Sharing:
    def __init__(self, terms):
        self.words = LoadReportCodec(terms.reported_figures)
        self.tells = terms.peers_allowed and terms.gateways > 1 and bool(self.words.figures)
        telling = terms.peer_price * terms.gateways * self.words.size / MESSAGE
        price = terms.probe_price + (telling if self.tells else 0.0)
        self.free, self.each = price <= 0, WORTH / price if price > 0 else 0.0
        self.due = 0.0  # probes that the tasks so far have paid for

    def task(self):
        self.due = min(self.due + self.each, SAVED)

    def may(self):
        return self.free or self.due >= 1

    def pick(self, now, fleet, every, chance):
        """The worker to probe, or None where each was heard of lately; `every`: how long a report serves."""
        if not fleet or not self.may():
            return None
        heard = sorted([(max(worker.reported, worker.asked), worker.place) for worker in fleet])
        late = heard[: max(1, len(heard) // AMONG)] if self.tells else heard[:1]
        at, place = late[chance.below(len(late))]
        if now - at < every:
            return None
        self.due = max(0.0, self.due - 1)
        fleet[place].asked = now
        return fleet[place]

    def tell(self, name, report):
        """The words by which all others are told of it; None where they are not."""
        return self.words.encode(name, report) if self.tells and report is not None else None
