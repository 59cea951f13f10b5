"""Decision modules that break one rule each on purpose: the judge that does not catch them is no judge."""

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.beliefs import MILLI
from gaproute.interface import Attempt, LoadOrder, Reject, State, Wait


class SendsAfterTheEnd(Gateway):
    """Rule 1: relays a task after its final answer."""

    def serve(self, now, task):
        if self.chance.below(10):
            yield from super().serve(now, task)
            return
        yield Reject(0)
        now, _ = yield Wait(now + 200 * MILLI)
        if self.fleet:
            yield Attempt(self.fleet[0].id)
            yield Wait(now + 200 * MILLI)


class RepeatsEverything(Gateway):
    """Rule 2: sends tasks again whatever their track."""

    def allowed(self, worker, track, trail, now):
        return worker.active


class IgnoresDrains(Gateway):
    """Rule 3: goes on sending to hosts that drain or are gone."""

    def listed(self, now, rows, complete):
        super().listed(now, [row._replace(state=State.ACTIVE) for row in rows], False)


class CrowdsTheCold(Gateway):
    """Rule 4: sends everything to the host that started last."""

    def choose(self, now, task, trail):
        cold = [worker for worker in self.fleet if worker.started is not None]
        if not cold or trail.relays:
            return super().choose(now, task, trail)
        return max(cold, key=lambda worker: worker.started)


class OrdersWithoutEnd(Gateway):
    """Rule 5: an order for a load with every task."""

    def serve(self, now, task):
        for worker in self.fleet[:3]:
            yield LoadOrder(worker.id, task.function, 1)
        yield from super().serve(now, task)


ROGUES = {1: SendsAfterTheEnd, 2: RepeatsEverything, 3: IgnoresDrains, 4: CrowdsTheCold, 5: OrdersWithoutEnd}
