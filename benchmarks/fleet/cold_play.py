"""The play of a day on which hosts warm up: the fleet, its traffic, what happens to hosts and gateways."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.cold_days import ColdDay, Kind
from benchmarks.fleet.hosts import CAPACITY, LANES
from benchmarks.fleet.terms import fleet_routing_settings
from benchmarks.fleet.warming_gateways import WarmingHostGateway
from benchmarks.fleet.warming_hosts import OVERLOAD, WARM_UP_TIME, WarmingHost
from benchmarks.fleet.world import FleetWorld
from gaproute import interface as face

FUNCTIONS = 60
TRAFFIC_BEFORE, IDLE_TIME, TRAFFIC_AFTER = 3 * SECOND, 60 * SECOND, 10 * SECOND
REPLACING_TIME = 7 * SECOND  # within which hosts are replaced in turn
REPLACED_SHARE = 0.6  # of the hosts
RETRY_DELAY, MAX_ATTEMPTS = 100 * MILLI, 3  # of a client whose request was rejected
SURGE_BEGIN, SURGE_END = 3 * SECOND, 6 * SECOND  # after the begin: little traffic before it, a burst in it
STALL_BEGIN, STALL_END = 2 * SECOND, 4 * SECOND  # after the begin: answers wait until its end
SECOND_RETURN = 3 * SECOND  # of hosts that come back twice
RESTARTED_SHARE = 0.7  # of the gateways
RESTART_STEP = 400 * MILLI  # between tenths of the gateways that restart in turn
LIST_DELAY, LATE_LIST_DELAY = 300 * MILLI, 4 * SECOND  # at most, until a gateway has a new list
USUAL_WEIGHT, WEIGHTS = 30, (300, 30, 30, 30, 1)  # of a gateway's traffic
PROBE_PRICE = 0.025


class ColdPlay(FleetWorld):
    """`with_hints`: with each list every gateway gets a wrong hint: all warming hosts have all functions.

    `begin` and `end`: ns between which hosts warm up and traffic comes.
    """

    hosts: dict[str, WarmingHost]
    gateways: list[Any]  # WarmingHostGateway

    def __init__(self, day: ColdDay, seed: int, *, with_hints: bool = False) -> None:
        self.day, self.random = day, Random(f"play {seed}")
        self._with_hints = with_hints
        super().__init__(day.gateways, 0)
        self.hosts.update({f"h{number}": WarmingHost(number, day) for number in range(day.hosts)})
        self._hosts_made = day.hosts
        for gateway in self.gateways:
            gateway.gateway.update_hosts(0, self.host_rows(), complete=True)
        self._weights = [
            self.random.choice(WEIGHTS) if day.uneven else USUAL_WEIGHT for _ in range(day.gateways)
        ]
        self.begin = TRAFFIC_BEFORE + (IDLE_TIME if day.idle else 0)
        self.end = self.begin + TRAFFIC_AFTER + (REPLACING_TIME if day.kind in ("join", "row") else 0)
        self._schedule()

    def _schedule(self) -> None:
        self.clock.at(0, self._arrive, TRAFFIC_BEFORE)
        self.clock.at(self.begin, self._arrive, self.end)
        count = self.day.gateways
        if self.day.restart:
            for number in self.random.sample(range(count), int(RESTARTED_SHARE * count)):
                self.clock.at(self.begin + self.random.randrange(2 * SECOND), self.restart, number)
        if self.day.rolling_restart:
            for number in range(count):
                step = 1 + 10 * number // count
                self.clock.at(self.begin + step * RESTART_STEP, self.restart, number)
        self._host_events()[self.day.kind]()

    # Gateways and traffic

    def make_gateway(self, number: int, seed: int, rows: Sequence[face.ListedHost]) -> WarmingHostGateway:
        """A gateway that starts now."""
        routing_settings = fleet_routing_settings(self.gateway_count)._replace(
            warm_up_share=self.day.share,
            warm_up_time=WARM_UP_TIME,
            warm_up_overload=OVERLOAD,
            probes_allowed=self.day.probes,
            load_orders_allowed=self.day.probes,
            probe_price=0.0 if self.day.free_probes else PROBE_PRICE,
            peers_allowed=not self.day.free_probes,
        )
        decisions = self.make_decisions(self, seed, routing_settings, self.clock.now)
        return WarmingHostGateway(self, number, decisions, rows)

    def restart(self, number: int) -> None:
        """Kill a gateway and start another in its place; clients may retry what it had in flight."""
        killed: WarmingHostGateway = self.gateways[number]
        super().restart(number)
        for key, request in killed.requests.items():
            self.retry_later(request.function, killed.client_attempts[key])

    def retry_later(self, function: str, attempts: int) -> None:
        """A client whose request was not served retries at any gateway, where the day has that."""
        if self.day.clients_retry and attempts < MAX_ATTEMPTS:
            self.clock.after(RETRY_DELAY, self._send_request, function, attempts + 1)

    def delivery_time(self, now: int) -> int:
        """When an answer that comes now gets through, ns."""
        if self.day.stall and STALL_BEGIN <= now - self.begin < STALL_END:
            return self.begin + STALL_END
        return now

    def _arrive(self, until: int) -> None:
        if self.clock.now >= until:
            return
        mean_size = sum(self.day.sizes) / len(self.day.sizes)
        rate = self._relative_load() * self.day.pace * mean_size * self.day.hosts
        gap = self.random.expovariate(rate)
        self._send_request()
        self.clock.after(max(1, int(gap * SECOND)), self._arrive, until)

    def _relative_load(self) -> float:
        """Of the warm hosts' pace: with a surge a third of it before, twice as much in it."""
        since = self.clock.now - self.begin
        if not self.day.surge or since < 0 or since >= SURGE_END:
            return self.day.busy
        return self.day.busy * (1 / 3 if since < SURGE_BEGIN else 2.0)

    def _send_request(self, function: str | None = None, attempts: int = 1) -> None:
        gateway = self.random.choices(self.gateways, self._weights)[0]
        if function is None:
            function = f"f{int(FUNCTIONS * self.random.random() * self.random.random())}"
        gateway.take(function, 0, attempts)

    # The host list

    def host_rows(self) -> list[face.ListedHost]:
        """The host list, with the capacities of the hosts where the day has that."""
        rows = super().host_rows()
        return rows if self.day.sizes_listed else [row._replace(capacity=CAPACITY) for row in rows]

    def publish_host_list(self) -> None:
        """Each gateway gets a list at a time of its own, with what holds then."""
        longest = LATE_LIST_DELAY if self.day.late else LIST_DELAY
        for number in range(self.day.gateways):
            self.clock.after(self.random.randrange(longest), self._hand_list, number)

    def _hand_list(self, number: int) -> None:
        gateway, now = self.gateways[number].gateway, self.clock.now
        gateway.update_hosts(now, self.host_rows(), complete=True)
        if not self._with_hints:
            return
        for host in [host for host in gateway.active_hosts if now < host.warm_at]:
            gateway.host_loads.record(host, now, face.HostLoadReport(in_hand=0))
            for function in range(FUNCTIONS):
                gateway.hint_instance(host.id, f"f{function}", LANES, now)

    # What happens to hosts

    def _host_events(self) -> dict[Kind, Callable[[], None]]:
        """Schedules what happens to hosts on each kind of day."""
        return {
            "one": lambda: self.clock.at(self.begin, self._replace, "h0"),
            "join": lambda: self._replace_in_turn(self._draw_replaced()),
            "row": lambda: self._replace_in_turn(sorted(self.hosts)),
            "all": lambda: self.clock.at(self.begin, self._come_back, sorted(self.hosts)),
            "most": self._schedule_most,
            "twice": self._schedule_twice,
            "zone": self._schedule_zone,
        }

    def _draw_replaced(self) -> list[str]:
        return self.random.sample(sorted(self.hosts), int(REPLACED_SHARE * self.day.hosts))

    def _schedule_most(self) -> None:
        """One in sixteen, one at least, stays warm."""
        self.clock.at(self.begin, self._come_back, sorted(self.hosts)[1 + self.day.hosts // 16 :])

    def _schedule_twice(self) -> None:
        """Six in ten come back, and again 3 s later, long before they are warm."""
        names = self._draw_replaced()
        for after in (0, SECOND_RETURN):
            self.clock.at(self.begin + after, self._come_back, names)

    def _schedule_zone(self) -> None:
        """A zone goes down, and is back two seconds later."""
        names = [name for name, host in self.hosts.items() if host.zone == 0]
        self.clock.at(self.begin - SECOND, self._go_down, names)
        self.clock.at(self.begin + SECOND, self._come_back, names)

    def _replace_in_turn(self, names: Sequence[str]) -> None:
        for number, name in enumerate(names):
            self.clock.at(self.begin + REPLACING_TIME * number // len(names), self._replace, name)

    def _replace(self, name: str) -> None:
        self.hosts[name].go_down()
        self._hosts_made += 1
        self.hosts[f"h{self._hosts_made}"] = WarmingHost(self._hosts_made, self.day, self.clock.now)
        self.publish_host_list()

    def _come_back(self, names: Sequence[str]) -> None:
        for name in names:
            self.hosts[name].go_down()
            self.hosts[name].come_back(self.clock.now)
        self.publish_host_list()

    def _go_down(self, names: Sequence[str]) -> None:
        for name in names:
            self.hosts[name].go_down()
        self.publish_host_list()
