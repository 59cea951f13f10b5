"""What the taps of a played day say: the rules, the service, what was sent and fetched."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

from gaproute.judge import DayTerms, HostPlace, RequestClassTerms, judge
from gaproute.judge.tap_reading import TapEvent
from gaproute.scenarios.clients import ClientContext, DayClients
from gaproute.scenarios.hosts import DayHosts
from gaproute.scenarios.service import Service
from gaproute.standins.tap import read_tap

ENDS = ("answer", "answered late", "overdue", "left", "broken")  # how a try may end at its client
OUTCOMES = ("delivered", "declined", "scrapped", "left", "broken", "overdue")


class PlayedDay(ClientContext, Protocol):
    """A day that is over. `longest_deadline`: of its requests, ns."""

    hosts: DayHosts
    clients: DayClients
    longest_deadline: int

    def harness_lateness(self) -> int:
        """By how much the processes that measure ran late at most, ns."""
        ...


class DayResult:
    """The result of a day."""

    def __init__(self, trial: PlayedDay) -> None:
        script, out = trial.script, trial.out
        self.request_classes = [line.name for line in script.request_classes]
        hosts = {name: _host_taps(out, name) for name in trial.hosts.by_name}
        self.clients, self.run = trial.clients.events(), read_tap(out / "run.tap")
        self.broken = judge(_terms(trial), hosts, self.clients, self.run)
        self.exit_codes = trial.gateways.exit_codes
        # Clients that ended before all their requests had: what they still waited for is on no tap.
        done = sum(event["what"] == "done" for event in self.clients)
        self.unfinished_clients = len(trial.clients.processes) - done
        self._count_at_hosts(hosts)
        store = read_tap(out / "store.tap")
        self.fetches = sum(event["what"] == "fetch" for event in store)
        self.rejected_fetches = sum(event["what"] == "turned away" for event in store)
        self.ends = [event for event in self.clients if event["what"] in ENDS]
        self.begun = next((event["at"] for event in self.run if event["what"] == "begun"), 0)
        unreachable = [event for event in self.clients if event["what"] == "unreachable"]
        service = Service(script.request_classes, [*self.ends, *unreachable])
        self.service = service.overall()
        self.service_by_class = {name: service.of_class(name) for name in self.request_classes}
        self.service_by_window = service.by_window(self.begun, script.day.length)

    def _count_at_hosts(self, hosts: Mapping[str, Sequence[Sequence[TapEvent]]]) -> None:
        events = [event for taps in hosts.values() for tap in taps for event in tap]
        self.attempts = sum(event["what"] == "task" for event in events)
        self.load_orders = sum(event["what"] == "order" and event["count"] > 0 for event in events)
        self.overloaded_hosts = sum(event["what"] == "fell over" for event in events)

    def outcomes(self, request_class: str) -> dict[str, int]:
        """How many tries of a request class ended how."""
        ends = [_outcome_of(event) for event in self.ends if event["track"] == request_class]
        return {name: ends.count(name) for name in OUTCOMES}

    @property
    def well(self) -> bool:
        """No rule was violated, and clients and gateways ended as they should."""
        ended_well = all(code == 0 for code in self.exit_codes.values())
        return not self.broken and bool(self.ends) and not self.unfinished_clients and ended_well

    def plain(self) -> dict[str, Any]:
        """The result as `gaproute trial --json` prints it."""
        return {
            "service": self.service,
            "by_track": self.service_by_class,
            "windows": self.service_by_window,
            "outcomes": {name: self.outcomes(name) for name in self.request_classes},
            "relays": self.attempts,
            "orders": self.load_orders,
            "fetches": self.fetches,
            "turned_away": self.rejected_fetches,
            "fell_over": self.overloaded_hosts,
            "exit_codes": self.exit_codes,
            "clients_unfinished": self.unfinished_clients,
            "broken": [violation._asdict() for violation in self.broken],
        }


def _outcome_of(end: TapEvent) -> str:
    """How a try ended, as `OUTCOMES` names it: an answer that came late is as good as none."""
    if end["what"] == "answer":
        return str(end["outcome"])
    return "overdue" if end["what"] == "answered late" else str(end["what"])


def _host_taps(out: Path, host: str) -> Sequence[Sequence[TapEvent]]:
    return [read_tap(path) for path in sorted(out.glob(f"host-{host}.*.tap"))]


def _terms(trial: PlayedDay) -> DayTerms:
    """What the day is judged by."""
    script = trial.script
    instances = script.warm_instances
    return DayTerms(
        request_classes={
            line.name: RequestClassTerms.from_track(line.effect, line.group, line.remembers)
            for line in script.request_classes
        },
        places={host.name: HostPlace(host.zone, host.rack) for host in trial.hosts.by_name.values()},
        load_orders_free=instances.free,
        load_order_share=instances.share,
        load_order_window=instances.window if instances.orders else 0,
        harness_lateness=trial.harness_lateness(),
        longest_deadline=trial.longest_deadline,
    )
