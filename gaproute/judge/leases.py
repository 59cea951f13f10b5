"""Judges leases by what their holders noted: the spans of true time in which they acted under a lease.

The events of the tap: `hold` (crew, resource, fence, until: ns) says that the holder `crew` may act from `at`
until then, under the fencing token `fence`; `let go` (crew, resource, fence) ends that early; `crews over`
says that nobody requests a lease from then on.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from gaproute.judge.tap_reading import TapEvent
from gaproute.units import MILLI, SECOND

# For a grant after a fault has healed: an election (1 to 2 s) and the duration of one lease.
GRANT_TIME = 3 * SECOND
DOWN_EVENTS = ("killed", "ended", "stopped")  # of a gateway's process
UP_EVENTS = ("started", "continued")


class LeaseViolation(NamedTuple):
    """Something that must not happen to leases. `at`: ns; `check`: "fence", "holders" or "progress"."""

    check: str
    at: int
    text: str


class HeldSpan(NamedTuple):
    """From `begin` to `end`, ns, the holder may act on a resource. Spans sort by their beginning."""

    begin: int
    end: int
    holder: str
    fencing_token: int


class Healing(NamedTuple):
    """A fault ended, or a gateway was resumed or came back."""

    at: int
    what: str


class Progress(NamedTuple):
    """`healings`: how many were looked at; `violations`: those after which nothing was granted in time."""

    healings: int
    violations: list[LeaseViolation]


def held_spans(run: Sequence[TapEvent]) -> dict[str, list[HeldSpan]]:
    """Who held what when, by resource, in the order of time."""
    released: dict[tuple[str, str, int], int] = {}
    for event in run:
        if event["what"] == "let go":
            released[event["crew"], event["resource"], event["fence"]] = event["at"]
    spans: dict[str, list[HeldSpan]] = defaultdict(list)
    for event in run:
        if event["what"] == "hold":
            released_at = released.get((event["crew"], event["resource"], event["fence"]), event["until"])
            end = min(released_at, event["until"])
            if event["at"] < end:
                spans[event["resource"]].append(HeldSpan(event["at"], end, event["crew"], event["fence"]))
    return {resource: sorted(each) for resource, each in spans.items()}


def judge_leases(run: Sequence[TapEvent]) -> list[LeaseViolation]:
    """Two holders at one moment; a fencing token that is missing, falls, or is had by two. By time."""
    violations: list[LeaseViolation] = []
    for resource, spans in held_spans(run).items():
        violations += _judge_resource(resource, spans)
    return sorted(violations, key=lambda violation: violation.at)


def _judge_resource(resource: str, spans: Iterable[HeldSpan]) -> Iterator[LeaseViolation]:
    highest_token = 0
    ends: dict[tuple[str, int], int] = {}  # (holder, fencing token): until when it holds the resource
    for span in spans:
        yield from _judge_token(resource, span, highest_token)
        for (holder, token), end in ends.items():
            yield from _judge_holders(resource, span, HeldSpan(0, end, holder, token))
        lease = span.holder, span.fencing_token
        ends[lease] = max(ends.get(lease, 0), span.end)
        highest_token = max(highest_token, span.fencing_token)


def _judge_token(resource: str, span: HeldSpan, highest_token: int) -> Iterator[LeaseViolation]:
    if span.fencing_token <= 0:
        yield LeaseViolation("fence", span.begin, f"{span.holder} holds {resource} without a fence")
    if span.fencing_token < highest_token:
        text = f"{span.holder} holds {resource} by {span.fencing_token}, {highest_token} was held before"
        yield LeaseViolation("fence", span.begin, text)


def _judge_holders(resource: str, span: HeldSpan, earlier: HeldSpan) -> Iterator[LeaseViolation]:
    """`earlier`: a lease of the resource that began before the span; its own beginning does not matter."""
    same_lease = (earlier.holder, earlier.fencing_token) == (span.holder, span.fencing_token)
    if not same_lease and earlier.end > span.begin:
        overlap = (min(earlier.end, span.end) - span.begin) / MILLI
        text = (
            f"{span.holder} ({span.fencing_token}) and {earlier.holder} ({earlier.fencing_token}) "
            f"both hold {resource} for {overlap:.1f} ms"
        )
        yield LeaseViolation("holders", span.begin, text)
    if earlier.fencing_token == span.fencing_token and earlier.holder != span.holder:
        text = f"{span.holder} and {earlier.holder} had {resource} by one fence {span.fencing_token}"
        yield LeaseViolation("fence", span.begin, text)


def grant_times(run: Sequence[TapEvent]) -> list[int]:
    """When each lease was first known to be held, ns, sorted."""
    first: dict[tuple[str, int], int] = {}
    for resource, spans in held_spans(run).items():
        for span in spans:
            first.setdefault((resource, span.fencing_token), span.begin)
    return sorted(first.values())


def healings(run: Sequence[TapEvent]) -> list[Healing]:
    """The ends of faults on links, the gateways that were resumed or came back, in the order of time."""
    down: set[int] = set()
    found: list[Healing] = []
    for event in sorted(run, key=lambda event: event["at"]):
        what = event["what"]
        if what == "fault" and not event["on"]:
            found.append(Healing(event["at"], f"fault {event['id']}"))
        elif what in DOWN_EVENTS:
            down.add(event["gateway"])
        elif what in UP_EVENTS and event["gateway"] in down:
            down.discard(event["gateway"])
            found.append(Healing(event["at"], f"gateway {event['gateway']} {what}"))
    return found


def judge_progress(run: Sequence[TapEvent], within: int = GRANT_TIME) -> Progress:
    """Whether a lease was granted within that time, ns, after each healing.

    Healings are passed over where no holder requested leases any more before the time was over.
    """
    over = max((event["at"] for event in run if event["what"] == "crews over"), default=0)
    looked_at = [healing for healing in healings(run) if healing.at + within <= over]
    granted = grant_times(run)
    violations = [
        LeaseViolation("progress", at, f"nothing was granted within {within / SECOND:g} s after {what}")
        for at, what in looked_at
        if not any(at < grant <= at + within for grant in granted)
    ]
    return Progress(len(looked_at), violations)
