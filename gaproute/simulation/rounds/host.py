"""A host of a maintenance run: its true copies, the orders it follows, its restarts."""

from gaproute.maintenance.host_report import HostReport, OrderMark
from gaproute.simulation.process_slot import OutgoingMessages
from gaproute.simulation.rounds.messages import (
    Drain,
    LoadCopy,
    ProbeMessage,
    ProbeReply,
    Restart,
    RunRequest,
    Serve,
)
from gaproute.simulation.rounds.scene import HostMemory, RoundsScene
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import SECOND

LOAD_TIME = 2 * SECOND  # that a copy takes, and up to as long again
WARM_UP_TIME = 5 * SECOND  # after its start, in which a host has half of its power
FULL_POWER, COLD_POWER = 1000, 500  # per mille
NEVER = 10_000 * SECOND  # longer than any run


class MaintainedHost:
    """The host `name` of the scene, and its process as maintenance sees it.

    A restart for maintenance is played inside: the host is silent until `down_until`. At a crash of the
    simulation a new one is made, without any copies.
    """

    def __init__(self, scene: RoundsScene, name: str, random: SeededRandom, now: int) -> None:
        self.spec, self.scene, self.random = scene.fleet.hosts[name], scene, random
        first = name not in scene.memories
        self.memory = scene.memories.setdefault(name, HostMemory())
        self.copies = list(scene.fleet.copies[name]) if first else []
        self.loading: dict[str, int] = {}  # function: when its copy is loaded
        self.in_flight: list[int] = []  # when each request ends
        self.down_until: int | None = None
        self.start, self.draining = 0, False
        self.warm_at: int | None = None  # when a host that warms up has its full power
        self._begin(None if first else now + WARM_UP_TIME)

    @property
    def due(self) -> int | None:
        """When its state changes next."""
        times = [time for time in (self.down_until, self.warm_at) if time is not None]
        return min([*times, *self.loading.values()], default=None)

    def tick(self, now: int) -> OutgoingMessages:
        """Comes back, warms up, completes loads."""
        if self.down_until is not None:
            if now < self.down_until:
                return []
            self.down_until = None
            self._begin(now + WARM_UP_TIME)
        if self.warm_at is not None and now >= self.warm_at:
            self.warm_at = None
        for function in [name for name, loaded_at in self.loading.items() if loaded_at <= now]:
            del self.loading[function]
            self.copies.append(function)
        return []

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """Takes a message, unless the host is away."""
        self.tick(now)
        if self.down_until is not None:
            return []
        match message:
            case ProbeMessage():
                return [(sender, ProbeReply(message.number, self._report(now)))]
            case RunRequest():
                if not self.draining:
                    self.in_flight.append(now + message.duration)
            case Drain():
                self._drain(message.mark)
            case Serve():
                self._serve(message.mark)
            case LoadCopy():
                self._load(now, message.function)
            case Restart():
                self._restart(now, message)
        return []

    def pull(self, now: int) -> None:
        """Is taken out although nobody allowed it."""
        self.tick(now)
        if self.down_until is None:
            self.scene.judge.record_failure(self.spec.name, "pulled")
            self._stop(now)

    def warm_lanes(self) -> dict[str, int]:
        """Lanes that it truly gives to new requests, by function."""
        if self.down_until is not None or self.draining:
            return {}
        lanes = self.spec.lanes // 2 if self.warm_at else self.spec.lanes
        return dict.fromkeys(self.copies, lanes)

    def _begin(self, warm_at: int | None) -> None:
        self.start, self.draining = self.random.below(1 << 40) + 1, False
        self.warm_at = warm_at

    def _report(self, now: int) -> HostReport:
        self.in_flight = [end for end in self.in_flight if end > now]
        return HostReport(
            asked_at=0,
            incarnation=self.start,
            draining=self.draining,
            last_order=self.memory.mark,
            in_flight=len(self.in_flight),
            capacity=COLD_POWER if self.warm_at else FULL_POWER,
            free_slots=self.spec.slots - len(self.copies) - len(self.loading),
            warm_functions=tuple(self.copies),
            loading_functions=tuple(self.loading),
            completed_round=self.memory.restarted_for,
        )

    def _drain(self, mark: OrderMark) -> None:
        if mark > self.memory.mark:
            self.memory.mark, self.draining = mark, True
            self.scene.judge.record_drain(self.spec.name, self.copies)

    def _serve(self, mark: OrderMark) -> None:
        if mark > self.memory.mark:
            self.memory.mark, self.draining = mark, False
            self.scene.judge.record_serve(self.spec.name, self.copies)

    def _load(self, now: int, function: str) -> None:
        has_room = len(self.copies) + len(self.loading) < self.spec.slots
        if has_room and not self.loading and function not in self.copies:
            self.loading[function] = now + LOAD_TIME + self.random.below(LOAD_TIME)

    def _restart(self, now: int, order: Restart) -> None:
        memory = self.memory
        if self.draining and order.mark == memory.mark and order.fencing_token > memory.fencing_token:
            memory.fencing_token, memory.restarted_for = order.fencing_token, order.round_name
            in_flight = sum(end > now for end in self.in_flight)
            self.scene.judge.record_restart(self.spec.name, in_flight)
            self._stop(now)

    def _stop(self, now: int) -> None:
        self.copies, self.loading, self.in_flight, self.warm_at = [], {}, [], None
        out_time = self.scene.out_time
        if self.spec.name in self.scene.never_back:
            self.down_until = now + NEVER
        else:
            self.down_until = now + out_time - self.random.below(out_time // 10)
