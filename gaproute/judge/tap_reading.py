"""Reads the taps of a day.

A tap is a list of JSON objects with `at` (ns of the machine's one monotonic clock) and `what`, written by
`gaproute.standins` and `gaproute.scenarios`. This module alone knows the keys of what the five rules need,
and skips all other events.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from gaproute.judge.events import (
    Attempt,
    EndKind,
    GatewayEvent,
    GatewayEventKind,
    HostAnswer,
    HostArrival,
    HostRun,
    LinkFaultEvent,
    ListNotification,
    LoadOrderArrival,
    ProcessCpuWait,
    RequestEnd,
    UnmatchedAnswer,
    WarmUp,
)

TapEvent = Mapping[str, Any]


def read_host_run(host: str, run: int, events: Iterable[TapEvent]) -> HostRun:
    """The tap of one process of a host."""
    start: TapEvent | None = None
    arrivals: list[HostArrival] = []
    answers: list[HostAnswer] = []
    for event in events:
        match event["what"]:
            case "up":
                start = start or event
            case "task":
                arrivals.append(_read_attempt(host, run, event))
            case "order":
                arrivals.append(_read_load_order(host, run, event))
            case "said":
                answers.append(HostAnswer(event["at"], event["id"], event["status"]))
    return HostRun(_read_warm_up(start), arrivals, answers)


def _read_warm_up(start: TapEvent | None) -> WarmUp | None:
    if start is None or start["warm"]:
        return None
    return WarmUp(
        started_at=start["at"],
        capacity=start["cores"] * start["speed"],
        initial_share=start["cold_share"],
        duration=start["cold_time"],
        overload_factor=start["fall_multiple"],
        overload_window=start["tip"],
    )


def _read_attempt(host: str, run: int, event: TapEvent) -> Attempt:
    return Attempt(
        at=event["at"],
        host=host,
        run=run,
        connection=event.get("link"),
        request=event["id"],
        request_class=event["track"],
        idempotency_key=event["mark"],
        work=event["work"],
        time_left=event.get("limit"),
    )


def _read_load_order(host: str, run: int, event: TapEvent) -> LoadOrderArrival:
    return LoadOrderArrival(
        at=event["at"],
        host=host,
        run=run,
        connection=event.get("link"),
        instances=event["count"],
        gateway_name=event.get("gateway") or "",
    )


def read_client_events(events: Iterable[TapEvent]) -> Iterator[RequestEnd | UnmatchedAnswer]:
    """The taps of the clients."""
    kinds = set(EndKind)
    for event in events:
        if event["what"] == "stray":
            yield UnmatchedAnswer(event["at"], event["gateway"], event.get("text"))
        elif event["what"] in kinds:
            yield _read_request_end(event)


def _read_request_end(event: TapEvent) -> RequestEnd:
    kind, at = EndKind(event["what"]), event["at"]
    if kind in (EndKind.OVERDUE, EndKind.ANSWERED_LATE):
        at = event.get("due", at)
    return RequestEnd(
        kind=kind,
        at=at,
        request=event["id"],
        request_class=event["track"],
        gateway=event["gateway"],
        sent_at=event["asked"],
        patience=event["patience"],
        outcome=event.get("outcome", ""),
        status=event.get("status", 0),
        text=event.get("text", ""),
        late_by=event["at"] - at if kind is EndKind.ANSWERED_LATE else 0,
    )


def read_run_events(
    events: Iterable[TapEvent],
) -> Iterator[GatewayEvent | ListNotification | LinkFaultEvent | ProcessCpuWait]:
    """The tap of what played the day."""
    gateway_kinds = set(GatewayEventKind)
    for event in events:
        if event["what"] == "told":
            yield ListNotification(event["at"], event["host"], event["state"], event.get("gateway"))
        elif event["what"] in gateway_kinds and "gateway" in event:
            number = event["gateway"]
            kind = GatewayEventKind(event["what"])
            yield GatewayEvent(event["at"], kind, number, event.get("name", str(number)))
        elif event["what"] == "fault" and event.get("ways"):
            yield _read_link_fault(event)
        elif event["what"] == "cpu wait":
            yield ProcessCpuWait(event["since"], event["at"], event.get("gateway"), event["by"])


def _read_link_fault(event: TapEvent) -> LinkFaultEvent:
    return LinkFaultEvent(
        at=event["at"],
        fault=event["id"],
        begins=event["on"],
        delay=event["late"],
        after_effect=event["slack"],
        links=[(frozenset(gateways), frozenset(hosts)) for gateways, hosts in event["ways"]],
    )
