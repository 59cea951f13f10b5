"""What a gateway knows: the fleet by the list, its functions, and what was seen of late."""

from collections import deque

from gaproute.decisions.chance import Chance
from gaproute.decisions.routing.beliefs import FLOWS, KEPT, LONG, LOOK, MIX, SECOND, Function, Worker
from gaproute.decisions.routing.ration import Ration
from gaproute.decisions.routing.sharing import Sharing

NEAR = 10.0  # points for a worker of the own zone, for each task's earnings that a crossing costs:
#                        a copy has six, and stands for a load, which costs over half of a task's earnings


class Known:
    def __init__(self, seed, terms, now):
        self.chance, self.own = Chance(seed), seed  # which of the first choices that count alike is its own
        self.terms, self.tracks = terms, terms.request_classes
        self.keep_alive = max(terms.keep_alive, 1)
        self.zone, self.near = terms.zone, NEAR * terms.crossing_price
        self.ration = Ration(terms.load_orders_free, terms.load_order_share, terms.load_order_window)
        self.sharing = Sharing(terms)
        self.probing, self.asks_list = terms.probes_allowed and terms.reports_by_probe, terms.host_list_polled
        self.top_earnings = max((track.priority_weight for track in terms.request_classes), default=1.0)
        self.shortest = min((track.latency_objective for track in terms.request_classes), default=SECOND)
        self.workers, self.fleet = {}, []  # all that were ever listed; the active ones
        self.capacity, self.strongest, self.all_warm_at = 0, 1.0, -1  # in all, the most; when none is cold
        self.first_spread = -1  # when first credit last came of a task
        self.functions, self.list_version, self.end_by = {}, 0, LONG  # of every task: the process stops
        self.zone_heard, self.silent = {}, {}  # zone: last sign of life; until when it is taken for silent
        self.looked, self.doubts, self.counted, self.in_hand = -LOOK, {}, -LOOK, 0  # `doubt`, `crowded`
        self.hands = {}  # (task, relay): (worker, function, track, sent, whether a copy stands)
        self.answers = deque(maxlen=FLOWS)  # times of answers
        self.drains = deque(maxlen=FLOWS)  # (time, answer time over the load) of workers with a queue
        self.loads = deque(maxlen=KEPT)  # answer times where a load was waited for
        self.tenants = deque(maxlen=FLOWS)  # tenants of the last tasks
        self.refusals = deque(maxlen=KEPT)  # (time, whether a refusal) of the last outcomes
        self.busy = deque(maxlen=FLOWS)  # (time, load over capacity) of the last reports
        self.usual_busy, self.busied = 0.0, -LOOK  # see `usual_load`
        self.mix = deque(maxlen=MIX)  # functions of the last tasks

    def listed(self, now, rows, complete):
        for row in rows:
            if (worker := self.workers.get(row.host)) is None:
                self.workers[row.host] = Worker(row, self.terms.warm_up_time)
            elif row.started is not None and row.started != worker.started:
                worker.restart(row, now, worker.out)
            else:
                worker.renew(row)
        named = {row.host for row in rows}
        for worker in self.workers.values() if complete else ():
            worker.active = worker.active and worker.id in named
        fleet = [worker for worker in self.workers.values() if worker.active]
        if fleet != self.fleet:  # what came anew for the same workers leaves their ranks as they are
            self.fleet, self.list_version = fleet, self.list_version + 1
        for place, worker in enumerate(self.fleet):
            worker.place = place
        self.capacity = sum([worker.capacity for worker in self.fleet])
        self.sharing.words.set_hosts([worker.id for worker in self.fleet])
        self.strongest = max([worker.capacity for worker in self.fleet], default=1.0)
        self.all_warm_at = max([worker.warm_at for worker in self.fleet], default=-1)

    def list_refused(self, now):
        self.asks_list = True

    def function(self, name, lanes):
        if name not in self.functions:
            self.functions[name] = Function(lanes)
        return self.functions[name]

    def book(self, worker, now, track, harm):
        alike = [result for result in worker.results if result[1] == track]
        if len(alike) >= KEPT:  # of its own track alone: many good answers of others prove nothing for it
            worker.results.remove(alike[0])
        worker.results.append((now, track, harm))
        worker.bad = sum([harm > 0 for _, _, harm in worker.results])
