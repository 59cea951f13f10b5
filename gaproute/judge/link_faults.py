"""Faults on the links between gateways and hosts, and since when what arrives may have been on its way."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.judge.events import GatewayId, LinkFaultEvent

END_OF_TIME = 1 << 62  # ns, after the end of any day


class DelaySpan(NamedTuple):
    """From `begin` to `end`, ns, bytes from these gateways may reach these hosts `delay` ns late."""

    begin: int
    end: int
    delay: int
    gateways: frozenset[int]
    hosts: frozenset[str]


class LinkFaults:
    """The faults of one day."""

    def __init__(self, events: Iterable[LinkFaultEvent]) -> None:
        self.spans = _delay_spans(events)

    def earliest_send_time(self, gateway: GatewayId | None, host: str, arrived_at: int) -> int:
        """When what the host received at `arrived_at` may have been sent at the earliest, ns.

        Bytes that a fault held back may be as old as the fault.
        """
        return min(
            (
                max(span.begin, arrived_at - span.delay)
                for span in self.spans
                if span.begin <= arrived_at <= span.end and gateway in span.gateways and host in span.hosts
            ),
            default=arrived_at,
        )


def _delay_spans(events: Iterable[LinkFaultEvent]) -> list[DelaySpan]:
    begun: dict[str, LinkFaultEvent] = {}
    spans: list[DelaySpan] = []
    for event in sorted(events, key=lambda event: event.at):
        if event.begins:
            begun[event.fault] = event
        elif event.fault in begun:
            spans += _spans_of_fault(begun.pop(event.fault), event.at + event.after_effect)
    for beginning in begun.values():
        spans += _spans_of_fault(beginning, END_OF_TIME)
    return spans


def _spans_of_fault(beginning: LinkFaultEvent, end: int) -> list[DelaySpan]:
    return [
        DelaySpan(beginning.at, end, beginning.delay, gateways, hosts) for gateways, hosts in beginning.links
    ]
