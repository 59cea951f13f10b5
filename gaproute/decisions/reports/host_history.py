"""What a gateway reports of its own: its host list over time, and its observations. Times are ns."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from gaproute.decisions.reports.observation_kinds import ListedState, ObservationKind, Subject, Value
from gaproute.decisions.reports.ports import ObservationSource
from gaproute.decisions.routing.observations import Observation

MAX_GONE_HOSTS = 1024  # stored hosts that are gone: more than a fleet replaces in a rolling restart
SINCE_EVER = -1  # the value of `since` that asks for all observations


class HostEntry(NamedTuple):
    """What the host list says of a host."""

    state: str  # a `ListedState`
    started: int  # start of the host, ns since 1970; 0: unknown
    listed_at: int  # when the list first had this state and start


class OwnObservation(NamedTuple):
    """One observation of this gateway itself."""

    subject: Subject
    value: Value
    observed_at: int


class HostHistory:
    """What the gateway's host list said of each host, and when; hosts that left the list are marked as
    gone.
    """

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}  # by host; those that changed last are at the end

    def update(self, now: int, hosts: Mapping[str, tuple[str, int]]) -> None:
        """Takes over the complete list: by host its state and start."""
        for name, (state, started) in hosts.items():
            entry = self.entries.get(name)
            if entry is None or (entry.state, entry.started) != (state, started):
                self._store_latest(name, HostEntry(state, started, now))
        for name, entry in list(self.entries.items()):
            if name not in hosts and entry.state != ListedState.GONE:
                self._store_latest(name, HostEntry(ListedState.GONE.value, entry.started, now))
        self._drop_oldest_gone_hosts(hosts)

    def active_start_times(self) -> dict[str, int]:
        """The active hosts and their starts, ns since 1970."""
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
    gateway: ObservationSource,
    history: HostHistory,
    request_classes: Sequence[str],
    now: int,
    since: int = SINCE_EVER,
) -> Iterator[OwnObservation]:
    """The observations of a gateway itself since that time; the iterator may be read in parts.

    `request_classes`: their names, by their number in the decisions.
    """
    for name, entry in list(history.entries.items()):
        if entry.listed_at > since:
            subject = (ObservationKind.LISTED_STATE.value, name)
            yield OwnObservation(subject, (entry.state, entry.started), entry.listed_at)
    for observation in gateway.observations_since(now, since):
        value: Value = observation.value
        if observation.kind == ObservationKind.WARM_INSTANCE:
            listed = history.entries.get(str(observation.names[0]))
            value = (*value, 0 if listed is None else listed.started)
        yield OwnObservation(_subject_of(observation, request_classes), value, observation.at)


def _subject_of(observation: Observation, request_classes: Sequence[str]) -> Subject:
    """The subject as other gateways know it, with the name of a request class in place of its number."""
    if observation.kind == ObservationKind.FAILURE:
        host, request_class = observation.names
        return (observation.kind, str(host), request_classes[int(request_class)])
    return (observation.kind, *map(str, observation.names))
