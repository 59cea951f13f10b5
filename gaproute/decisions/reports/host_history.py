"""Collects what a gateway reports of itself: its host list over time and its observations. Times are ns."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from gaproute.decisions.reports.observation_kinds import ListedState, ObservationKind, Subject, Value
from gaproute.decisions.reports.ports import ObservationSource
from gaproute.decisions.routing.observations import Observation

# Limit of the stored hosts that are gone: more than a rolling restart of a fleet replaces.
MAX_GONE_HOSTS = 1024
SINCE_EVER = -1  # value of `since` that selects all observations


class HostEntry(NamedTuple):
    """The entry of the host list for one host."""

    state: str  # a `ListedState`
    started: int  # start time of the host, ns since 1970; 0: unknown
    listed_at: int  # time at which the list first had this state and start time


class OwnObservation(NamedTuple):
    """An observation that this gateway made itself."""

    subject: Subject
    value: Value
    observed_at: int


class HostHistory:
    """The latest host list entry of each host; the entry of a host that left the list has the state gone."""

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}  # by host; the entry that changed last is at the end

    def update(self, now: int, hosts: Mapping[str, tuple[str, int]]) -> None:
        """Applies a complete host list: by host its state and its start time."""
        for name, (state, started) in hosts.items():
            entry = self.entries.get(name)
            if entry is None or (entry.state, entry.started) != (state, started):
                self._store_latest(name, HostEntry(state, started, now))
        for name, entry in list(self.entries.items()):
            if name not in hosts and entry.state != ListedState.GONE:
                self._store_latest(name, HostEntry(ListedState.GONE.value, entry.started, now))
        self._drop_oldest_gone_hosts(hosts)

    def active_start_times(self) -> dict[str, int]:
        """Returns the start time (ns since 1970) of each active host."""
        return {
            name: entry.started for name, entry in self.entries.items() if entry.state == ListedState.ACTIVE
        }

    def _store_latest(self, name: str, entry: HostEntry) -> None:
        self.entries.pop(name, None)
        self.entries[name] = entry

    def _drop_oldest_gone_hosts(self, hosts: Mapping[str, object]) -> None:
        gone = [
            name
            for name, entry in self.entries.items()
            if entry.state == ListedState.GONE and name not in hosts
        ]
        for name in gone[:-MAX_GONE_HOSTS]:
            del self.entries[name]


def own_observations(
    source: ObservationSource,
    history: HostHistory,
    request_classes: Sequence[str],
    now: int,
    since: int = SINCE_EVER,
) -> Iterator[OwnObservation]:
    """Yields the observations that a gateway made itself after `since`; the iterator may be read in parts.

    `request_classes`: the names of the request classes, by their number in the decisions.
    """
    for name, entry in list(history.entries.items()):
        if entry.listed_at > since:
            subject = (ObservationKind.LISTED_STATE.value, name)
            yield OwnObservation(subject, (entry.state, entry.started), entry.listed_at)
    for observation in source.observations_since(now, since):
        value: Value = observation.value
        if observation.kind == ObservationKind.WARM_INSTANCE:
            listed = history.entries.get(str(observation.names[0]))
            value = (*value, 0 if listed is None else listed.started)
        yield OwnObservation(_subject_of(observation, request_classes), value, observation.at)


def _subject_of(observation: Observation, request_classes: Sequence[str]) -> Subject:
    """Returns the subject with the name of a request class: other gateways may number it differently."""
    if observation.kind == ObservationKind.FAILURE:
        host, request_class = observation.names
        return (observation.kind, str(host), request_classes[int(request_class)])
    return (observation.kind, *map(str, observation.names))
