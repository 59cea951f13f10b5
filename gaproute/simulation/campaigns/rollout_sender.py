"""The rollouts of one gateway: their groups, the queues they wait in, and where each was sent."""

from collections import deque
from typing import NamedTuple

from gaproute.rollouts.dispatcher import RolloutDispatcher
from gaproute.rollouts.groups import GroupOutcome, RolloutGroups
from gaproute.rollouts.invariants import check_sent
from gaproute.rollouts.weight_versions import WeightVersions
from gaproute.simulation.campaigns.host_views import HostViews
from gaproute.simulation.campaigns.messages import CancelTask, Copy, Task, TaskEnded, TaskResult
from gaproute.simulation.campaigns.scene import Scene
from gaproute.simulation.process_slot import OutgoingMessages
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI

DURATIONS_MS = (200, 700)  # of a rollout, least and most


class Rollout(NamedTuple):
    """A rollout of a group, which the copy it names is to answer."""

    task: str
    group: str
    copy: Copy


class RolloutSender:
    """Sends rollouts where the dispatcher permits; `sent` has those in flight by task.

    `name` is the gateway's; it makes the names of groups unique.
    """

    def __init__(
        self, scene: Scene, name: str, random: SeededRandom, dispatcher: RolloutDispatcher, views: HostViews
    ) -> None:
        self.scene, self.name, self.random = scene, name, random
        self.dispatcher, self.views = dispatcher, views
        self.campaigns = scene.fleet.campaigns
        self.weights = WeightVersions(self.campaigns)
        self.groups = RolloutGroups(self.weights)
        self.sent: dict[str, Rollout] = {}
        self._queues: dict[str, deque[Rollout]] = {campaign: deque() for campaign in self.campaigns}

    def send(self, now: int) -> list[tuple[str, Task]]:
        """Fills all lanes that may be used now."""
        outgoing: list[tuple[str, Task]] = []
        for host in list(self.dispatcher.allotments):
            for campaign in list(self.dispatcher.allotments[host].targets):
                outgoing += self._fill(now, campaign, host)
        return outgoing

    def record_end(self, ended: TaskEnded) -> None:
        """A host has answered or rejected a rollout."""
        self.dispatcher.record_ended(ended.task, host_full=ended.result == TaskResult.FULL)
        rollout = self.sent.get(ended.task)
        if ended.result == TaskResult.NOT_LOADED and rollout is not None:
            self.views.forget_copy(ended.host, rollout.copy)
        if ended.result != TaskResult.DONE or rollout is None:
            self._requeue(ended.task)
            return
        del self.sent[ended.task]
        if self.groups.record_answer(rollout.group, ended.task, ended.version) == GroupOutcome.DELIVERED:
            self.scene.rollouts.record_delivery(rollout.copy.campaign, rollout.group)

    def requeue_expired(self) -> None:
        """Puts back the rollouts whose time is over: their host has ended them."""
        for task in [task for task in self.sent if task not in self.dispatcher.in_flight]:
            self._requeue(task)

    def drop_old_groups(self) -> OutgoingMessages:
        """Drops groups of versions that are too old, and cancels what runs of them."""
        in_flight = self.dispatcher.in_flight
        outgoing = [
            (in_flight[task].host, CancelTask(task))
            for _, tasks in self.groups.discard_outdated()
            for task in tasks
            if task in in_flight
        ]
        for queue in self._queues.values():
            for rollout in [each for each in queue if each.group not in self.groups.open_groups]:
                queue.remove(rollout)
        return outgoing

    def _fill(self, now: int, campaign: str, host: str) -> list[tuple[str, Task]]:
        """Sends rollouts of the campaign to the host while it may take more."""
        outgoing: list[tuple[str, Task]] = []
        while (lease := self.dispatcher.find_lease(now, campaign, host)) is not None:
            self._open_group(campaign)
            queue, copies = self._queues[campaign], self.views.by_host[host].copies
            rollout = next((each for each in queue if each.copy in copies), None)
            if rollout is None:
                break
            queue.remove(rollout)
            if self.weights.rejection(campaign, rollout.copy.version):
                continue  # its group is dropped at the next look
            self.scene.rollouts.record_violations(check_sent(self.dispatcher, now, campaign, host))
            self.dispatcher.record_sent(now, rollout.task, campaign, host, lease)
            self.sent[rollout.task] = rollout
            outgoing.append((host, self._task(rollout)))
        return outgoing

    def _task(self, rollout: Rollout) -> Task:
        duration = self.random.between(*DURATIONS_MS) * MILLI
        limit = self.campaigns[rollout.copy.campaign].max_duration
        return Task(rollout.task, rollout.copy, duration, limit, self.scene.true_time())

    def _open_group(self, campaign: str) -> None:
        """Opens a group of the newest version where fewer of its rollouts wait than a group has."""
        newest, size = Copy(campaign, self.weights.current[campaign]), self.campaigns[campaign].group_size
        queue = self._queues[campaign]
        if sum(rollout.copy == newest for rollout in queue) >= size:
            return
        group = f"{self.name}/{self.scene.numbers.next()}"
        for number in range(size):
            task = f"{group}/{number}"
            if self.groups.admit(group, task, campaign, newest.version, size) is None:
                queue.append(Rollout(task, group, newest))

    def _requeue(self, task: str) -> None:
        """It never ran, or was cancelled: it may go again while its group is open."""
        rollout = self.sent.pop(task, None)
        if rollout is not None and rollout.group in self.groups.open_groups:
            self._queues[rollout.copy.campaign].appendleft(rollout)
