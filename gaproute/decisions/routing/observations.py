"""The observations of this gateway, for other gateways and for its own next run."""

from collections.abc import Iterator
from statistics import median
from typing import NamedTuple

from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME
from gaproute.decisions.routing.tables import Tables

BEFORE_ALL_OBSERVATIONS = -1  # ns, earlier than the time of any observation


class Observation(NamedTuple):
    """One observation; `decisions/reports/observation_kinds.py` defines the kinds and their values."""

    kind: str
    names: tuple[str | int, ...]  # the host, function or request class that was observed
    value: tuple[float, ...]  # defined by the kind
    at: int  # ns


class Observations:
    """Derives the observations of a gateway from its tables."""

    def __init__(self, tables: Tables, answer_times: AnswerTimes) -> None:
        self.hosts, self.functions, self.function_mix = tables.hosts, tables.functions, tables.function_mix
        self.answer_times = answer_times

    def since(self, now: int, since: int = BEFORE_ALL_OBSERVATIONS) -> Iterator[Observation]:
        """Yields the observations after `since`: first of hosts, then of functions, most recently used first.

        The iterator may be consumed in parts while host lists and requests change the tables.
        """
        for host in list(self.hosts.by_id.values()):
            yield from _of_host(host, now, since)
        loads = self.answer_times.load_times
        if loads and since < 0:
            yield Observation("load", (), (int(median(loads)),), now)
        by_name = self.functions.by_name
        for name in sorted(by_name, key=lambda name: -by_name[name].used_at):
            function = self.functions.by_name.get(name)  # None: forgotten since the iteration began
            if function is not None and function.answered_at > since:
                yield from self._of_function(name, function, now, since)

    def _of_function(self, name: str, function: Function, now: int, since: int) -> Iterator[Observation]:
        for host_id, seen in list(function.proven_at.items()):
            host = self.hosts.by_id.get(host_id)  # None: forgotten since the iteration began
            if seen > since and host is not None and host.active and seen >= host.instances_lost_at:
                yield Observation("warm", (host_id, name), (function.lanes,), seen)
        if function.answer_times:
            usual = int(median(function.answer_times))
            yield Observation("usual", (name,), (usual,), function.answered_at)
        if since < 0 and name in self.function_mix.recent:
            yield Observation("share", (name,), (self.function_mix.share(name),), now)


def _of_host(host: Host, now: int, since: int) -> Iterator[Observation]:
    last_failures = {
        result.request_class: result
        for result in host.results
        if result.failure_weight > 0
        and result.request_class is not None
        and now - result.at < EVIDENCE_LIFETIME
    }
    if host.active:
        for request_class, result in last_failures.items():
            if result.at > since:
                yield Observation("doubt", (host.id, request_class), (result.failure_weight,), result.at)
    if host.active and host.slowdown > 1 and now < host.slowdown_until > since + EVIDENCE_LIFETIME:
        seen = host.slowdown_until - EVIDENCE_LIFETIME
        yield Observation("pace", (host.id,), (host.slowdown,), seen)
