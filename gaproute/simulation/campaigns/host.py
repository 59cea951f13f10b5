"""A host of a campaign run: lanes, copies, production that waits. Its state is the truth that is judged."""

import heapq
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.rollouts.campaign import MAX_TRANSIT_TIME
from gaproute.simulation.campaigns.messages import (
    CancelTask,
    Copy,
    CopyLoaded,
    DropCopy,
    HostStatus,
    LoadCopy,
    StatusQuery,
    Task,
    TaskEnded,
    TaskResult,
)
from gaproute.simulation.campaigns.scene import Scene
from gaproute.simulation.process_slot import Outbox, OutgoingMessages
from gaproute.units import SECOND

COLD_TIME = 2 * SECOND  # after a restart, in which the host says that it bears little


class WaitingTask(NamedTuple):
    """A request of production that waits for a lane."""

    sender: str
    task: Task


class RunningTask(NamedTuple):
    """A task on a lane, and the copy that answers it; None: production's."""

    sender: str
    copy: Copy | None


class TaskTimer(NamedTuple):
    """A task is over at `at`; `number` orders timers of one time."""

    at: int
    number: int
    task: str


class LoadTimer(NamedTuple):
    """A copy is loaded at `at`."""

    at: int
    number: int
    copy: Copy
    sender: str


@dataclass(slots=True)
class LaneUse:
    """What runs on a host's lanes."""

    running: dict[str, RunningTask]  # by task
    rollouts: int = 0  # of them

    @property
    def production(self) -> int:
        """Requests of production that run."""
        return len(self.running) - self.rollouts


class SimulatedHost:
    """The host `name` of the scene.

    `restarted`: it comes back without copies, and production's own copy has to be loaded first.
    `production_waits_since`: the true time since when production wants lanes that rollouts may have.
    """

    def __init__(self, scene: Scene, name: str, now: int, *, restarted: bool) -> None:
        self.scene, self.name = scene, name
        self.spec, self.lendable = scene.fleet.hosts[name], scene.fleet.lendable[name]
        self.copies: set[Copy] = set()  # membership and extremes only: a set has no order
        self.loading: dict[Copy, int] = {}  # since when
        self.lanes = LaneUse({})
        self.queue: list[WaitingTask] = []
        self.production_waits_since: int | None = None
        self._timers: list[TaskTimer | LoadTimer] = []
        self._restarted, self._cold_until = restarted, now + COLD_TIME
        self._ready_at = now + (scene.behaviour.load_time if restarted else 0)

    @property
    def due(self) -> int | None:
        """When a task is over or a copy loaded."""
        return self._timers[0].at if self._timers else None

    @property
    def free_room(self) -> int:
        """Copies that may still be loaded."""
        return self.spec.copy_capacity - len(self.copies) - len(self.loading)

    def tick(self, now: int) -> OutgoingMessages:
        """Ends what is due."""
        outgoing: Outbox = []
        while self._timers and self._timers[0].at <= now:
            match heapq.heappop(self._timers):
                case TaskTimer(task=task):
                    outgoing += self._end(now, task, TaskResult.DONE)
                case LoadTimer(copy=copy, sender=sender):
                    if self.loading.pop(copy, None) is not None:
                        self.copies.add(copy)
                        outgoing.append((sender, CopyLoaded(self.name, copy)))
        self._update_waiting()
        return outgoing

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """Takes a message of a gateway."""
        outgoing = self._handle(now, sender, message)
        self._update_waiting()
        return outgoing

    def _handle(self, now: int, sender: str, message: object) -> OutgoingMessages:
        match message:
            case StatusQuery(number=number):
                return [(sender, self._status(now, number))]
            case Task():
                return self._take_task(now, sender, message)
            case CancelTask(task=task):
                return self._end(now, task, TaskResult.CANCELLED)
            case LoadCopy(copy=copy):
                return self._load(now, sender, copy)
            case DropCopy(copy=copy):
                self._drop(copy)
        return []

    def _update_waiting(self) -> bool:
        """Whether production wants lanes that rollouts may have; dates the want after each change."""
        floor = self.spec.lanes - self.lendable
        waits = bool(self.queue) or self.lanes.production >= self.lendable and floor > 0
        if not waits:
            self.production_waits_since = None
        elif self.production_waits_since is None:
            self.production_waits_since = self.scene.true_time()
        return waits

    def _status(self, now: int, number: int) -> HostStatus:
        running = len(self.lanes.running)
        # What production waits for, and what of its floor is taken by rollouts that were there before.
        lacking = len(self.queue) + min(self.lanes.rollouts, max(0, running - self.lendable))
        return HostStatus(
            host=self.name,
            number=number,
            free_lanes=max(0, self.lendable - running) if now >= self._ready_at else 0,
            production_waits=self._update_waiting(),
            lanes_lacking=lacking,
            cold=self._restarted and now < self._cold_until,
            copies=frozenset(self.copies),
            loading=frozenset(self.loading),
            free_room=self.free_room,
        )

    def _take_task(self, now: int, sender: str, task: Task) -> OutgoingMessages:
        if task.copy is not None and self.scene.true_time() - task.sent_at > MAX_TRANSIT_TIME:
            return []  # its connection was closed before it arrived
        if task.name in self.lanes.running:
            return []  # duplicated on its way: a stream has each byte once
        if task.copy is None:
            self.scene.production.record_arrival(task.name)
            if now < self._ready_at:
                return self._reject(sender, task, TaskResult.NOT_LOADED)
        elif task.copy not in self.copies:
            return self._reject(sender, task, TaskResult.NOT_LOADED)
        if len(self.lanes.running) < self.spec.lanes:
            self._run(now, sender, task)
            return []
        if task.copy is not None:
            return self._reject(sender, task, TaskResult.FULL)
        self.queue.append(WaitingTask(sender, task))
        return []

    def _reject(self, sender: str, task: Task, result: TaskResult) -> OutgoingMessages:
        return [(sender, TaskEnded(self.name, task.name, result, None))]

    def _run(self, now: int, sender: str, task: Task) -> None:
        copy = task.copy
        if copy is None:
            self.scene.production.record_start(task.name, task.duration)
        elif self.scene.behaviour.newest_answers:
            copy = max(each for each in self.copies if each.campaign == copy.campaign)
        self.lanes.running[task.name] = RunningTask(sender, copy)
        self.lanes.rollouts += copy is not None
        over_at = now + min(task.duration, task.limit)
        heapq.heappush(self._timers, TaskTimer(over_at, self.scene.numbers.next(), task.name))

    def _end(self, now: int, task: str, result: TaskResult) -> Outbox:
        if task not in self.lanes.running:
            return []
        sender, copy = self.lanes.running.pop(task)
        version = None if copy is None else copy.version
        if copy is not None:
            self.lanes.rollouts -= 1
            if result is TaskResult.DONE:
                self.scene.rollouts.record_answer(task, version)
        if self.queue:
            waiting = self.queue.pop(0)
            self._run(now, waiting.sender, waiting.task)
        return [(sender, TaskEnded(self.name, task, result, version))]

    def _load(self, now: int, sender: str, copy: Copy) -> OutgoingMessages:
        if copy in self.copies:
            return [(sender, CopyLoaded(self.name, copy))]
        if copy in self.loading:
            return []
        if self.free_room < 1:
            return [(sender, CopyLoaded(self.name, None))]
        self.loading[copy] = now
        loaded_at = now + self.scene.behaviour.load_time
        heapq.heappush(self._timers, LoadTimer(loaded_at, self.scene.numbers.next(), copy, sender))
        return []

    def _drop(self, copy: Copy) -> None:
        """Where a rollout runs on the copy, the gateway asks again once it is idle."""
        if not any(task.copy == copy for task in self.lanes.running.values()):
            self.copies.discard(copy)
