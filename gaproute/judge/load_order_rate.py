"""Rule 5: the rate limit of load orders holds at each order, for each gateway since its last start.

Orders are counted where they arrive. A gateway may give `load_orders_free` orders within the window and
`load_order_share` for each request that it took within it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

from gaproute.judge.day import Day
from gaproute.judge.events import GatewayEventKind
from gaproute.judge.terms import DayTerms, Violation, ViolationKind

RULE = 5

Times = dict[str, list[int]]  # ns, by name of a gateway


def judge_load_order_rate(terms: DayTerms, day: Day) -> Iterator[Violation]:
    """The violations of rule 5, the first of each gateway."""
    if terms.load_order_window <= 0:
        return
    requests, starts = _request_times(day), _start_times(day)
    for gateway, orders in _order_times(terms, day).items():
        yield from _judge_gateway(
            terms, gateway, sorted(orders), sorted(requests.get(gateway, ())), starts.get(gateway, [])
        )


def _order_times(terms: DayTerms, day: Day) -> Times:
    """When load orders arrived; without those that may have been held back on their way."""
    times: Times = defaultdict(list)
    for runs in day.hosts.values():
        for run in runs:
            for order in run.load_orders:
                if day.longest_transit(order) > terms.transit_allowance:
                    continue
                sender = day.senders.gateway_of(order)
                if sender is not None:  # else its connection carried no request: it counts for nobody
                    times[day.senders.name_of(sender)].append(order.at)
    return times


def _request_times(day: Day) -> Times:
    """When clients sent their requests."""
    times: Times = defaultdict(list)
    for ends in day.ends.values():
        times[day.senders.name_of(ends[0].gateway)].append(ends[0].sent_at)
    return times


def _start_times(day: Day) -> Times:
    times: Times = defaultdict(list)
    for event in day.gateway_events:
        if event.kind is GatewayEventKind.STARTED:
            times[day.senders.name_of(event.gateway)].append(event.at)
    return times


def _judge_gateway(
    terms: DayTerms, gateway: str, orders: list[int], requests: list[int], starts: list[int]
) -> Iterator[Violation]:
    """The times are ns, those of orders and requests sorted."""
    for at in orders:
        since = max([at - terms.load_order_window, *(start for start in starts if start <= at)])
        ordered = bisect_right(orders, at) - bisect_right(orders, since)
        taken = bisect_right(requests, at) - bisect_left(requests, since - terms.transit_allowance)
        allowed = terms.load_orders_free + terms.load_order_share * taken
        if ordered > allowed:
            text = f"gateway {gateway}: {ordered} load orders, {allowed:.1f} allowed"
            yield Violation(RULE, at, text, ViolationKind.LOAD_ORDER_RATE)
            return
