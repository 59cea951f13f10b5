"""The random requests of the clients of a Raft group."""

from collections.abc import Sequence

from gaproute.shared.leases import LeaseClient
from gaproute.simulation.raft_group.setup import RaftGroupSetup, RunKind
from gaproute.simulation.random_load import RequestMaker
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

RESOURCES = ("r1", "r2", "r3", "p1", "p2")
POOLS = {"p1": (3, 4), "p2": (4, 6)}  # the sizes that each pool is given
MAX_POOL_AMOUNT = 3  # of one lease
MAX_LEASES = 4  # requested or held at once by a client


class LeaseLoad:
    """Clients acquire and release leases of a few resources that all of them want, and resize the pools."""

    def __init__(self, setup: RaftGroupSetup, clients: Sequence[str]) -> None:
        self.clients, self._duration = clients, setup.lease_duration
        self._is_varied = setup.kind == RunKind.COMMON

    def requests(self) -> list[tuple[int, RequestMaker]]:
        """The requests with their weights."""
        return [(12, self._acquire), (5, self._release), (2, self._resize_pool)]

    def _acquire(self, simulation: Simulation, random: SeededRandom) -> None:
        resource, amount, duration = RESOURCES[0], 1, self._duration
        if self._is_varied:
            resource = random.choice(RESOURCES)
        if resource in POOLS:
            amount = random.between(1, MAX_POOL_AMOUNT)
        if self._is_varied:
            duration //= random.choice((1, 1, 2, 4))

        def acquire(client: LeaseClient, now: int) -> None:
            if len(client.requests) < MAX_LEASES:
                client.acquire(now, resource, duration, amount)

        simulation.ask(random.choice(self.clients), acquire)

    def _release(self, simulation: Simulation, random: SeededRandom) -> None:
        place = random.below(MAX_LEASES)

        def release(client: LeaseClient, now: int) -> None:
            if place < len(client.requests):
                client.release(now, client.requests[place])

        simulation.ask(random.choice(self.clients), release)

    def _resize_pool(self, simulation: Simulation, random: SeededRandom) -> None:
        resource = random.choice(list(POOLS))
        amount = random.choice(POOLS[resource])

        def resize_pool(client: LeaseClient, now: int) -> None:
            client.resize_pool(now, resource, amount)

        simulation.ask(random.choice(self.clients), resize_pool)
