"""A model host without a protocol: it takes requests and load orders, and has the faults it is commanded to.

Cores are shared by the requests that run; an instance of a model runs as many at a time as it has lanes, and
takes memory; an idle one is unloaded after a time, or sooner when a load needs the memory. A host that has
just started can do a part of its work; sent far more than that, it fails and stays down.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator

import msgspec

from gaproute.loop import Loop, Promise
from gaproute.standins.invariant_violation import note_violations
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.model_server.coroutines import CoroutineGroup
from gaproute.standins.model_server.faults import ActiveFaults, FaultCommand, RequestFault
from gaproute.standins.model_server.fetching import Fetch
from gaproute.standins.model_server.instance_pool import InstancePool
from gaproute.standins.model_server.invariants import find_violations
from gaproute.standins.model_server.model_instances import ModelInstances
from gaproute.standins.model_server.processor import Processor
from gaproute.standins.model_server.profiles import HostSetup, ModelProfile
from gaproute.standins.model_server.requests import (
    EndHandler,
    FoundInstance,
    HostLoad,
    HostRequest,
    IncomingRequest,
    ReceivedLoadOrder,
    RequestEnd,
)
from gaproute.standins.model_server.warm_up import WarmUp
from gaproute.standins.tap import EventRecorder
from gaproute.units import MILLI

WORK_SHAPE = 4  # of the gamma distribution of work: a spread of half the mean
UPKEEP_INTERVAL = 50 * MILLI  # between looks at idle instances and at the invariants
ORDER_CHECK_INTERVAL = 20 * MILLI  # between looks whether what was ordered is loaded
# Fields of the profile that a tap tells when the host starts.
NOTED_FIELDS = ("cores", "speed", "cold_share", "cold_time", "fall_multiple", "tip")


class ModelServer:
    """A host: `start` it once, then hand it requests and load orders until `stop`."""

    def __init__(self, loop: Loop, setup: HostSetup, fetch: Fetch, tap: EventRecorder) -> None:
        """`fetch(model)`: a promise of whether the store gave the model."""
        profile = setup.profile
        self.loop, self.tap, self.warm = loop, tap, setup.warm
        self.profile, self.models = profile, setup.models
        self._chance = random.Random(setup.seed)
        self.coroutines = CoroutineGroup(loop)
        self.faults = ActiveFaults(self._chance)
        self.warm_up = WarmUp(profile, loop.now() - (profile.cold_time if setup.warm else 0))
        self.pool = InstancePool(loop, profile, self._chance, tap, fetch, self.coroutines, self)
        self.processor = Processor(loop, profile, self.warm_up, self.faults, self._finish)
        self.on_overload: Callable[[], object] = _ignore  # it has failed under too much work
        self.down = self.stopped = False
        if setup.warm:
            self.pool.preload(sorted(setup.models))

    def start(self) -> None:
        """Begins to serve."""
        fields = {name: getattr(self.profile, name) for name in NOTED_FIELDS}
        self.tap.note("up", host=self.profile.name, warm=self.warm, **fields)
        self._upkeep()

    def stop(self) -> None:
        """Dies: nothing of it goes on, and its tap ends here."""
        self.stopped = self.down = True
        self.processor.stop()
        self.coroutines.cancel_all()
        self.tap.flush()

    def load_report(self) -> HostLoad:
        """The load as it is."""
        waiting = self.pool.waiting_count()
        in_flight = len(self.processor.running) + waiting
        memory = self.pool.instance_count() / self.profile.copies
        return HostLoad(waiting, in_flight, self.processor.utilization(), memory)

    def command(self, command: JsonObject) -> None:
        """Begins or ends a fault; see `FaultCommand` for the form. Errors: msgspec.ValidationError."""
        fault = msgspec.convert(command, FaultCommand)
        self.tap.note("trouble", name=fault.name, on=fault.active)
        self.tap.flush()
        self.processor.advance()
        self.faults.apply(fault)
        self.processor.schedule()

    # Requests

    def receive(self, incoming: IncomingRequest, on_end: EndHandler) -> HostRequest | None:
        """Takes a request; None where it has ended already or never will."""
        now, model = self.loop.now(), incoming.model
        work = self._chance.gammavariate(WORK_SHAPE, model.work / WORK_SHAPE)
        work *= self.faults.draw_work_factor(model.request_class)
        instances = self.pool.of(model.name)
        same_model_requests = instances.busy_lanes + len(instances.waiting)
        request = HostRequest(incoming, work, same_model_requests, on_end)
        self._note_request(incoming)
        if self.warm_up.overloaded_by(now, model.work):
            self._fail_under_overload()
        if self.down:
            return None
        request.fault = self.faults.draw_request_fault(model.request_class)
        if request.fault is RequestFault.REFUSE or len(instances.waiting) >= self.profile.queue:
            request.end(RequestEnd.FULL)
            return None
        return self._serve(request, instances)

    def _note_request(self, incoming: IncomingRequest) -> None:
        self.tap.note(
            "task",
            id=incoming.id,
            mark=incoming.gateway_request_id,
            track=incoming.model.request_class,
            work=incoming.model.work,
            link=incoming.connection_id,
            limit=incoming.time_limit,
        )

    def _fail_under_overload(self) -> None:
        self.tap.note("fell over")
        self.down = True
        self.on_overload()

    def _serve(self, request: HostRequest, instances: ModelInstances) -> HostRequest | None:
        match request.fault:
            case RequestFault.FAIL:
                request.end(RequestEnd.ERROR)
            case RequestFault.RESET:
                self.tap.note("cut", id=request.id)
                request.end(RequestEnd.RESET)
            case RequestFault.HANG:
                pass
            case _:
                self.processor.advance()
                self._run_or_queue(request, instances)
                self.processor.schedule()
                return request
        return None

    def _run_or_queue(self, request: HostRequest, instances: ModelInstances) -> None:
        lanes = request.model.lanes
        if instances.has_free_lane(lanes):
            instances.busy_lanes += 1
            self.processor.start(request)
            return
        if instances.loading:
            request.found = FoundInstance.LOAD_AWAITED
        elif not instances.loaded:
            request.found = FoundInstance.LOAD_STARTED
        instances.waiting.append(request)
        wanted = -(-(instances.busy_lanes + len(instances.waiting)) // lanes)
        adds_one = self.profile.adds_copies and not instances.loading and instances.loaded < wanted
        if instances.total == 0 or adds_one:
            self.pool.load(request.model)

    def cancel(self, request: HostRequest) -> None:
        """The gateway gave the request up: one that waits is dropped, one that runs goes on."""
        instances = self.pool.instances[request.model.name]
        if request in instances.waiting:
            instances.waiting.remove(request)

    def _start_waiting(self, model: ModelProfile, instances: ModelInstances) -> None:
        while instances.waiting and instances.has_free_lane(model.lanes):
            instances.busy_lanes += 1
            self.processor.start(instances.waiting.pop(0))

    def _finish(self, request: HostRequest) -> None:
        """The work of a request is done."""
        instances = self.pool.instances[request.model.name]
        instances.busy_lanes -= 1
        instances.idle_since = self.loop.now()
        self._start_waiting(request.model, instances)
        self.tap.note("ran", id=request.id, found=request.found, mark=request.gateway_request_id)
        if request.fault is RequestFault.CUT:
            self.tap.note("cut", id=request.id)
            request.end(RequestEnd.CUT)
        elif request.fault is not RequestFault.LOST:
            request.end(RequestEnd.DONE)

    # Loads

    def on_loaded(self, model: ModelProfile, instances: ModelInstances) -> None:
        """One more instance can serve."""
        self.processor.advance()
        self._start_waiting(model, instances)
        self.processor.schedule()

    def on_load_failed(self, instances: ModelInstances) -> None:
        """A load failed: what waits for this load alone fails with it."""
        if instances.total:
            return
        waiting, instances.waiting = instances.waiting, []
        for request in waiting:
            request.found = FoundInstance.LOAD_FAILED
            request.end(RequestEnd.LOAD_FAILED)

    def order_load(self, order: ReceivedLoadOrder) -> Promise | None:
        """Takes a load order: a promise of the instances that are loaded at its end (None where the host
        dies first); None where memory is short."""
        self.note_order(order)
        if not self.pool.load_up_to(self.models[order.model], order.count):
            return None
        return self.coroutines.spawn(self._await_loads(self.pool.instances[order.model], order.count))

    def note_order(self, order: ReceivedLoadOrder) -> None:
        """Notes a load order that came."""
        self.tap.note(
            "order",
            model=order.model,
            count=order.count,
            gateway=order.gateway,
            link=order.connection_id,
        )

    def _await_loads(self, instances: ModelInstances, count: int) -> Generator[Promise, object, int]:
        while instances.loaded < count and instances.loading:
            yield self.loop.sleep(ORDER_CHECK_INTERVAL)
        return instances.loaded

    # Upkeep

    def _upkeep(self) -> None:
        if self.stopped:
            return
        self.pool.unload_idle(self.loop.now())
        note_violations(self.tap, find_violations(self))
        self.loop.call_later(UPKEEP_INTERVAL, self._upkeep)


def _ignore() -> None:
    """In place of a callback that nobody has set."""
