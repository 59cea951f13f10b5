"""The instances at a stand-in host: loads, and what is unloaded for want of memory or after a time.

A load is a fetch from the model store, then a start. A fetch that the store refuses is retried a few times.
"""

from __future__ import annotations

import random
from collections.abc import Generator, Iterable
from typing import Protocol

from gaproute.loop import Loop, Promise
from gaproute.standins.model_server.coroutines import CoroutineGroup
from gaproute.standins.model_server.fetching import Fetch
from gaproute.standins.model_server.model_instances import ModelInstances
from gaproute.standins.model_server.profiles import HostProfile, ModelProfile
from gaproute.standins.tap import EventRecorder
from gaproute.units import SECOND

FETCH_ATTEMPTS = 8  # that the store refuses, until the load has failed
FETCH_PAUSE = 0.1, 0.4  # seconds between them, by chance: hosts that are refused do not come back as one
MAX_ORDERED = 16  # instances of one model that a load order can ask for
INITIALLY_FREE = 2  # instances' memory that is free at a host that starts warm


class LoadListener(Protocol):
    """Is notified of the ends of loads."""

    def on_loaded(self, model: ModelProfile, instances: ModelInstances) -> None:
        """One more instance can serve."""

    def on_load_failed(self, instances: ModelInstances) -> None:
        """The store refused the model again and again."""


class InstancePool:
    """All instances at one host, by model."""

    def __init__(
        self,
        loop: Loop,
        profile: HostProfile,
        chance: random.Random,
        tap: EventRecorder,
        fetch: Fetch,
        coroutines: CoroutineGroup,
        listener: LoadListener,
    ) -> None:
        self.loop, self.profile, self.tap = loop, profile, tap
        self.fetch, self.coroutines, self.listener = fetch, coroutines, listener
        self._chance = chance
        self.instances: dict[str, ModelInstances] = {}  # by model name
        self.active_loads = 0
        self.queued_loads: list[ModelProfile] = []

    def of(self, name: str) -> ModelInstances:
        """The instances of a model, none at first."""
        return self.instances.setdefault(name, ModelInstances())

    def loaded_count(self, name: str) -> int:
        """How many instances of a model can serve."""
        instances = self.instances.get(name)
        return instances.loaded if instances is not None else 0

    def instance_count(self) -> int:
        """Instances that take memory."""
        return sum(instances.total for instances in self.instances.values())

    def waiting_count(self) -> int:
        """Requests that wait for a lane."""
        return sum(len(instances.waiting) for instances in self.instances.values())

    def preload(self, names: list[str]) -> None:
        """Loads a random choice of models at once, as a host that ran before holds them."""
        count = max(0, min(len(names), self.profile.copies - INITIALLY_FREE))
        for name in self._chance.sample(names, count):
            instances = self.of(name)
            instances.loaded, instances.idle_since = 1, self.loop.now()

    # Loads

    def load(self, model: ModelProfile) -> bool:
        """Begins or queues one load; False where no memory can be freed for it."""
        if self.instance_count() >= self.profile.copies and not self._free_memory():
            return False
        self.of(model.name).loading += 1
        self.queued_loads.append(model)
        self._start_queued()
        return True

    def load_up_to(self, model: ModelProfile, count: int) -> bool:
        """Loads until there are `count` instances, `MAX_ORDERED` at most; False where memory is short."""
        instances = self.of(model.name)
        instances.idle_since = self.loop.now()
        while instances.total < min(count, MAX_ORDERED):
            if not self.load(model):
                return False
        return True

    def _free_memory(self) -> bool:
        """Unloads the instance that has been idle longest; False where none is."""
        idle = [
            (instances.idle_since, name)
            for name, instances in self.instances.items()
            if instances.loaded and instances.unused
        ]
        if idle:
            self.instances[min(idle)[1]].loaded -= 1
        return bool(idle)

    def _start_queued(self) -> None:
        while self.queued_loads and self.active_loads < self.profile.loads:
            self.active_loads += 1
            self.coroutines.spawn(self._load(self.queued_loads.pop(0)))

    def _load(self, model: ModelProfile) -> Generator[Promise, bool | None, None]:
        for _ in range(FETCH_ATTEMPTS):
            fetched = yield self.fetch(model)
            if fetched:
                break
            yield self.loop.sleep(round(self._chance.uniform(*FETCH_PAUSE) * SECOND))
        else:
            self._load_failed(model)
            return
        yield self.loop.sleep(round(model.start / self.profile.speed))
        instances = self._load_ended(model)
        instances.loaded += 1
        instances.idle_since = self.loop.now()
        self.tap.note("loaded", model=model.name)
        self.listener.on_loaded(model, instances)
        self._start_queued()

    def _load_failed(self, model: ModelProfile) -> None:
        instances = self._load_ended(model)
        self.tap.note("load failed", model=model.name)
        self.listener.on_load_failed(instances)
        self._start_queued()

    def _load_ended(self, model: ModelProfile) -> ModelInstances:
        instances = self.instances[model.name]
        self.active_loads -= 1
        instances.loading -= 1
        return instances

    # Unloading

    def unload_unused(self, name: str) -> None:
        """Unloads all instances of a model, where no request runs or waits there."""
        instances = self.instances.get(name)
        if instances is not None and instances.unused:
            instances.loaded = 0

    def unload_idle(self, now: int) -> None:
        """Unloads what has been idle for longer than the host keeps it."""
        for instances in self._idle_before(now - self.profile.keep):
            instances.loaded = 0

    def _idle_before(self, when: int) -> Iterable[ModelInstances]:
        for instances in self.instances.values():
            if instances.loaded and instances.unused and instances.idle_since < when:
                yield instances
