"""The observations that this gateway made itself; its messages contain no others. Times are ns."""

from collections.abc import Container

from gaproute.shared.gossip.arrivals import ArrivalRates
from gaproute.shared.gossip.messages import MAX_AMOUNT, WARM_PARTITIONS

MAX_OBSERVED_HOSTS = 8192  # hosts in each of the maps of requests in flight and of available capacity
MAX_INSTANCES_PER_PARTITION = 512  # the most recently seen warm instances

InstanceKey = tuple[int, int]  # key of the host, key of the function


class LocalObservations:
    """Observations of this gateway by the keys of hosts and functions, in bounded maps."""

    def __init__(self, now: int) -> None:
        self.arrivals = ArrivalRates(now)
        # By host: requests of this gateway that are in flight there; a host without any is missing
        self.in_flight: dict[int, float] = {}
        self.available_capacity: dict[int, float] = {}  # by host: estimated available capacity
        # By partition: when each warm instance was last seen, the latest at the end
        self.warm_instances: list[dict[InstanceKey, int]] = [{} for _ in range(WARM_PARTITIONS)]

    def record_in_flight(self, host: int, requests: float) -> None:
        """Records the requests of this gateway that are in flight at the host now."""
        if requests <= 0:
            self.in_flight.pop(host, None)
        else:
            _store_amount(self.in_flight, host, requests)

    def record_available_capacity(self, host: int, capacity: float) -> None:
        """Records the estimated available capacity of the host."""
        _store_amount(self.available_capacity, host, capacity)

    def record_warm_instance(self, now: int, host: int, function: int) -> None:
        """Records that the host has a warm instance of the function now."""
        instances, instance = self.warm_instances[function % WARM_PARTITIONS], (host, function)
        instances.pop(instance, None)
        instances[instance] = now
        if len(instances) > MAX_INSTANCES_PER_PARTITION:
            del instances[next(iter(instances))]

    def record_unloaded_instance(self, host: int, function: int) -> None:
        """Records that the host has no instance of the function."""
        self.warm_instances[function % WARM_PARTITIONS].pop((host, function), None)

    def forget_hosts(self, hosts: Container[int]) -> None:
        """Drops all observations of these hosts."""
        for amounts in (self.in_flight, self.available_capacity):
            for host in [host for host in amounts if host in hosts]:
                del amounts[host]
        for instances in self.warm_instances:
            for instance in [instance for instance in instances if instance[0] in hosts]:
                del instances[instance]


def _store_amount(amounts: dict[int, float], host: int, amount: float) -> None:
    if host in amounts or len(amounts) < MAX_OBSERVED_HOSTS:
        amounts[host] = min(max(0.0, amount), MAX_AMOUNT)
