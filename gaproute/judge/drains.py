"""Rule 3: no request and no load order goes to a host past the grace after it was listed as draining or gone.

The grace runs from the first notification. A gateway may have a host list of its own: then it counts when
that gateway was notified. Of an unknown sender the gateway that was notified last counts.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from gaproute.judge.day import Day
from gaproute.judge.events import Attempt, GatewayId, HostArrival, ListNotification
from gaproute.judge.link_faults import END_OF_TIME
from gaproute.judge.terms import DayTerms, Violation, ViolationKind

RULE = 3
ACTIVE_STATE = "active"


class DrainedSpan(NamedTuple):
    """After `begin` and before `end`, ns, nothing may be sent to a host."""

    begin: int
    end: int


DrainedSpans = Mapping[GatewayId | None, list[DrainedSpan]]  # by gateway; None: of the list that all share


def judge_drains(terms: DayTerms, day: Day) -> Iterator[Violation]:
    """The violations of rule 3."""
    for host, by_gateway in _notifications_by_host(day).items():
        drained = {gateway: _drained_spans(terms, changes) for gateway, changes in by_gateway.items()}
        for run in day.hosts.get(host, ()):
            for arrival in run.arrivals:
                if isinstance(arrival, Attempt) or arrival.instances > 0:
                    yield from _judge_arrival(day, drained, arrival)


def _notifications_by_host(day: Day) -> dict[str, dict[GatewayId | None, list[ListNotification]]]:
    by_host: dict[str, dict[GatewayId | None, list[ListNotification]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for notification in day.notifications:
        by_host[notification.host][notification.gateway].append(notification)
    return by_host


def _drained_spans(terms: DayTerms, notifications: list[ListNotification]) -> list[DrainedSpan]:
    """The spans in which nothing may be sent, by what one gateway was notified of."""
    changes = sorted((notification.at, notification.state) for notification in notifications)
    grace = terms.drain_grace + terms.transit_allowance
    spans: list[DrainedSpan] = []
    for place, (at, state) in enumerate(changes):
        was_active = place == 0 or changes[place - 1][1] == ACTIVE_STATE
        if state != ACTIVE_STATE and was_active:
            active_again = [later for later, next_state in changes[place:] if next_state == ACTIVE_STATE]
            spans.append(DrainedSpan(at + grace, active_again[0] if active_again else END_OF_TIME))
    return spans


def _judge_arrival(day: Day, drained: DrainedSpans, arrival: HostArrival) -> Iterator[Violation]:
    sender = day.senders.gateway_of(arrival)
    shared_list = None in drained
    sent_at = day.earliest_send_time(arrival)
    if all(
        any(span.begin < sent_at and arrival.at < span.end for span in spans)
        for spans in _spans_of_sender(drained, sender)
    ):
        described = "task" if isinstance(arrival, Attempt) else "order"
        text = f"{described} to {arrival.host}, told draining or gone before"
        if not shared_list:
            text += f", by g{sender}"
        yield Violation(RULE, arrival.at, text, ViolationKind.DRAIN)


def _spans_of_sender(drained: DrainedSpans, sender: GatewayId | None) -> list[list[DrainedSpan]]:
    """The spans of each gateway that may have been the sender."""
    if sender is None and None not in drained:
        return list(drained.values())
    return [drained.get(sender, drained.get(None, []))]
