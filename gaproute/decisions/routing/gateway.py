"""The routing decisions of one gateway: their parts, and the methods that the driver calls."""

from collections.abc import Generator, Iterator, Mapping, Sequence
from typing import Any

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.attempt_tracker import AttemptTracker
from gaproute.decisions.routing.candidates import CandidateOrder
from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.function_table import DEFAULT_MAX_FUNCTION_BYTES, FunctionTable
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.hints import Hints
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.housekeeping import Housekeeping
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.decisions.routing.load_orders import LoadOrders
from gaproute.decisions.routing.load_report_sharing import LoadReportSharing
from gaproute.decisions.routing.load_shedder import LoadShedder
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.observations import BEFORE_ALL_OBSERVATIONS, Observation, Observations
from gaproute.decisions.routing.outcome_recorder import OutcomeRecorder
from gaproute.decisions.routing.outlier_detector import OutlierDetector
from gaproute.decisions.routing.ranking import Ranking
from gaproute.decisions.routing.request_router import RequestRouter, RouterParts
from gaproute.decisions.routing.retry_rules import RetryRules
from gaproute.decisions.routing.scorer import Scorer
from gaproute.decisions.routing.silent_zones import SilentZones
from gaproute.decisions.routing.slow_start import SlowStart
from gaproute.decisions.routing.tables import Tables
from gaproute.decisions.routing.throughput import Throughput
from gaproute.interface import Action, HostLoadReport, ListedHost, Outcome, Request, Result, RoutingSettings
from gaproute.units import SECOND

FAILED_PROBE_WEIGHT = 1.0  # failure weight of a failed probe among the results of a host


class Gateway:
    """Creates the parts, each of which owns its state, and delegates the calls of the driver to them.

    Subclasses replace a part by overriding its type. `load_order_limiter` is passed if several gateways of
    one process share a limit.
    """

    retry_rules_type: type[RetryRules] = RetryRules
    selector_type: type[HostSelector] = HostSelector
    function_mix_type: type[FunctionMix] = FunctionMix
    host_loads_type: type[HostLoads] = HostLoads

    def __init__(
        self,
        seed: int,
        settings: RoutingSettings,
        now: int,
        load_order_limiter: LoadOrderLimiter | None = None,
        max_function_bytes: int = DEFAULT_MAX_FUNCTION_BYTES,
    ) -> None:
        self.settings, self.random = settings, RandomGenerator(seed)
        self._make_tables(settings, max_function_bytes)
        self._make_measurements(settings)
        self._make_limits(settings, load_order_limiter)
        self._make_selection(settings, preferred_rank=seed)
        self._make_request_path(settings)
        self.housekeeping = Housekeeping(settings, self.tables, self.report_sharing, self.random)
        self.observations = Observations(self.tables, self.answer_times)

    def _make_tables(self, settings: RoutingSettings, max_function_bytes: int) -> None:
        self.hosts = HostTable(settings.warm_up_time)
        self.functions = FunctionTable(max(settings.keep_alive, 1), self.hosts, max_function_bytes)
        self.function_mix = self.function_mix_type(self.hosts)
        self.ranking = Ranking(self.hosts)
        self.tables = Tables(self.hosts, self.functions, self.function_mix, self.ranking)

    def _make_measurements(self, settings: RoutingSettings) -> None:
        objectives = [request_class.latency_objective for request_class in settings.request_classes]
        self.answer_times = AnswerTimes(min(objectives, default=SECOND))
        self.host_loads = self.host_loads_type()
        self.outliers = OutlierDetector()
        self.silent_zones = SilentZones(self.hosts)
        self.throughput = Throughput()
        self.measurements = Measurements(
            self.answer_times, self.host_loads, self.outliers, self.silent_zones, self.throughput
        )
        self.tracker = AttemptTracker(settings.request_classes, self.functions, self.measurements)

    def _make_limits(self, settings: RoutingSettings, load_order_limiter: LoadOrderLimiter | None) -> None:
        self.retry_rules = self.retry_rules_type(settings)
        self.slow_start = SlowStart(settings, self.hosts)
        self.load_order_limiter = load_order_limiter or LoadOrderLimiter.from_settings(settings)
        self.load_orders = LoadOrders(
            self.load_order_limiter, self.answer_times, self.random, allowed=settings.load_orders_allowed
        )
        self.report_sharing = LoadReportSharing(settings)
        self.shedder = LoadShedder(settings, self.hosts, self.measurements, self.tracker, self.random)

    def _make_selection(self, settings: RoutingSettings, preferred_rank: int) -> None:
        order = CandidateOrder(self.tables)
        self.scorer = Scorer(settings, self.tables, self.measurements, order, self.slow_start, preferred_rank)
        self.selector = self.selector_type(
            settings.request_classes, self.tables, self.retry_rules, self.scorer, self.random
        )

    def _make_request_path(self, settings: RoutingSettings) -> None:
        self.hints = Hints(self.tables, self.measurements, self.random)
        self.recorder = OutcomeRecorder(
            self.tables, self.measurements, self.tracker, self.slow_start, self.hints
        )
        parts = RouterParts(
            tables=self.tables,
            answer_times=self.answer_times,
            tracker=self.tracker,
            retry_rules=self.retry_rules,
            selector=self.selector,
            shedder=self.shedder,
            slow_start=self.slow_start,
            load_orders=self.load_orders,
            report_sharing=self.report_sharing,
            hints=self.hints,
        )
        self.router = RequestRouter(settings, parts)

    # State that other modules read

    @property
    def hosts_by_id(self) -> Mapping[str, Host]:
        """Returns all hosts that are listed or have attempts in flight."""
        return self.hosts.by_id

    @property
    def active_hosts(self) -> Sequence[Host]:
        """Returns the hosts that the host list allows to get requests."""
        return self.hosts.active

    @property
    def functions_by_name(self) -> Mapping[str, Function]:
        """Returns the known functions."""
        return self.functions.by_name

    def request_count(self, host: Host, lanes: int, now: int) -> float:
        """Returns the estimated number of requests at the host, waiting or running."""
        return self.host_loads.request_count(host, lanes, now)

    # Requests

    def serve(self, now: int, request: Request) -> Generator[Action, Any, None]:
        """Returns the generator of one request, from acceptance to its one final answer."""
        return self.router.serve(now, request)

    def attempt_ended(self, now: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt, whether or not its request still waits."""
        self.recorder.record(now, outcome)

    @property
    def end_by(self) -> int:
        """The time by which every request must have its final answer because the process stops (ns)."""
        return self.router.end_by

    @end_by.setter
    def end_by(self, when: int) -> None:
        self.router.end_by = when

    # The host list, probes and load orders

    def update_hosts(self, now: int, rows: Sequence[ListedHost], *, complete: bool) -> None:
        """Applies a host list; if it is `complete`, hosts that it does not name are gone."""
        self.hosts.update(now, rows, complete=complete)
        self.report_sharing.set_hosts([host.id for host in self.hosts.active])

    def host_list_poll_failed(self, now: int) -> None:
        """Polls the host list again, because the last poll failed."""
        self.housekeeping.host_list_wanted = True

    def housekeep(self, now: int) -> Generator[Action, Any, None]:
        """Returns the generator of polls, probes and cleanup, which lasts as long as the gateway runs."""
        return self.housekeeping.run(now)

    def probe_ended(
        self, now: int, host_id: str, report: HostLoadReport | None, *, good: bool
    ) -> bytes | None:
        """Records the end of a probe; returns the message to send to all other gateways, or None."""
        host = self.hosts.by_id.get(host_id)
        if host is not None:
            self.host_loads.record(host, now, report)
            if not good:
                self.outliers.record(host, now, None, FAILED_PROBE_WEIGHT)
        return self.report_sharing.encode(host_id, report) if good else None

    def peer_message_received(self, now: int, message: bytes) -> None:
        """Records the load report in another gateway's message; ignores a message that cannot be used."""
        decoded = self.report_sharing.decode(message)
        if decoded is not None:
            host_id, report = decoded
            self.host_loads.record(self.hosts.by_id[host_id], now, report)

    def load_order_ended(
        self, now: int, host_id: str, name: str, result: Result | None, instances: int
    ) -> None:
        """Records the end of a load order.

        `result` is None if the answer cannot be decoded; `instances` is the number now loaded at the host.
        """
        function = self.functions.by_name.get(name)
        if function is not None:
            self.load_orders.record_end(now, function, self.hosts.by_id.get(host_id), result)

    def forget_departed_hosts(self) -> None:
        """Forgets hosts that left the list; for drivers that do not run `housekeep`."""
        self.housekeeping.forget_departed()

    # Observations of other gateways (hints) and of this gateway

    def hint_instance(self, host_id: str, name: str, lanes: int, seen: int) -> bool:
        """Adds a hint: an instance of the function was seen at the host. Returns whether it is accepted."""
        return self.hints.add_instance(host_id, name, lanes, seen)

    def hint_failures(self, host_id: str, request_class: int, failure_weight: float, seen: int) -> bool:
        """Adds a hint: attempts of the class failed at the host. Returns whether it is accepted."""
        return self.hints.add_failure(host_id, request_class, failure_weight, seen)

    def hint_slowdown(self, host_id: str, slowdown: float, seen: int) -> bool:
        """Adds a hint: the host is `slowdown` times slower than usual. Returns whether it is accepted."""
        return self.hints.add_slowdown(host_id, slowdown, seen)

    def hint_usual_time(self, name: str | None, duration: int) -> bool:
        """Adds a hint: the usual answer time (ns) of a function. Returns whether it is accepted.

        If `name` is None, it is the usual answer time of requests that wait for a load.
        """
        return self.hints.add_usual_time(name, duration)

    def hint_function_mix(self, names: Sequence[str]) -> None:
        """Adds a hint: the functions of the last requests that other gateways served."""
        self.hints.set_function_mix(names)

    def observations_since(self, now: int, since: int = BEFORE_ALL_OBSERVATIONS) -> Iterator[Observation]:
        """Yields the observations that this gateway itself made since that time (ns)."""
        return self.observations.since(now, since)
