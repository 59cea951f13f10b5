"""What a gateway tells of its own: its host list over time, and what it observed itself. Times are in ns."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from gaproute.decisions.reports.observation_kinds import ListedState, ObservationKind, Subject, Value

MAX_GONE = 1024  # hosts remembered as gone: more than a fleet replaces in a rolling restart
EVERYTHING = -1  # as the time since when observations are asked for


class HostEntry(NamedTuple):
    """What the list says of a host."""

    state: str  # a `ListedState`
    started: int  # start of the host, ns since 1970; 0 where the list has none
    listed_at: int  # when that was listed first


class OwnObservation(NamedTuple):
    """What this gateway observed itself of one subject."""

    subject: Subject
    value: Value
    observed_at: int


class HostHistory:
    """What a gateway's own host list said of each host, and when; hosts that left it are gone."""

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}  # by host, those that changed last at the end

    def update(self, now: int, hosts: Mapping[str, tuple[str, int]]) -> None:
        """Takes the whole list: by host its state and start."""
        for name, (state, started) in hosts.items():
            entry = self.entries.get(name)
            if entry is None or (entry.state, entry.started) != (state, started):
                self._put(name, HostEntry(state, started, now))
        for name, entry in list(self.entries.items()):
            if name not in hosts and entry.state != ListedState.GONE:
                self._put(name, HostEntry(ListedState.GONE.value, entry.started, now))
        self._drop_oldest_gone(hosts)

    def active_starts(self) -> dict[str, int]:
        """The active hosts and their starts."""
        return {
            name: entry.started for name, entry in self.entries.items() if entry.state == ListedState.ACTIVE
        }

    def _put(self, name: str, entry: HostEntry) -> None:
        self.entries.pop(name, None)
        self.entries[name] = entry

    def _drop_oldest_gone(self, hosts: Mapping[str, object]) -> None:
        gone = [
            name
            for name, entry in self.entries.items()
            if entry.state == ListedState.GONE and name not in hosts
        ]
        for name in gone[:-MAX_GONE]:
            del self.entries[name]


def own_observations(
    gateway: Any, history: HostHistory, request_classes: Sequence[str], now: int, since: int = EVERYTHING
) -> Iterator[OwnObservation]:
    """What a gateway observed itself since then, one by one; it may be read over many turns.

    `request_classes`: their names, by the numbers that the decisions know them by.
    """
    for name, entry in list(history.entries.items()):
        if entry.listed_at > since:
            subject = (ObservationKind.LISTED_STATE.value, name)
            yield OwnObservation(subject, (entry.state, entry.started), entry.listed_at)
    for kind, names, value, observed_at in gateway.observations_since(now, since):
        if kind == ObservationKind.WARM_INSTANCE:
            listed = history.entries.get(names[0])
            value = (*value, 0 if listed is None else listed.started)
        elif kind == ObservationKind.FAILURE:
            names = (names[0], request_classes[names[1]])
        yield OwnObservation((kind, *names), value, observed_at)
