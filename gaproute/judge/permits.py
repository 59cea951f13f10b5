"""Judges permits by what their holders noted: spans of true time in which a crew held a resource. Imports
nothing that it judges.

Events: `hold` (crew, resource, fence, until: ns) says that the crew may act from `at` until then; `let go`
(crew, resource, fence) ends that early; `crews over` says that nobody asks from then on.
"""

from collections import defaultdict
from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000
WITHIN = 3 * SECOND  # for a grant after a fault has healed: an election (1 to 2 s) and one permit's span


class Breach(NamedTuple):
    check: str
    at: int
    text: str


class Span(NamedTuple):
    begin: int
    end: int
    crew: str
    fence: int


def spans(run):
    """{resource: [Span]} by their beginnings."""
    found, ended = defaultdict(list), {}
    for event in run:
        if event["what"] == "let go":
            ended[event["crew"], event["resource"], event["fence"]] = event["at"]
    for event in run:
        if event["what"] == "hold":
            end = ended.get((event["crew"], event["resource"], event["fence"]), event["until"])
            if event["at"] < min(end, event["until"]):
                found[event["resource"]].append(
                    Span(event["at"], min(end, event["until"]), event["crew"], event["fence"])
                )
    return {resource: sorted(each) for resource, each in found.items()}


def judge(run):
    """[Breach]: two holders at one moment, a fencing number that is none, falls, or is had by two."""
    broken = []
    for resource, held in spans(run).items():
        highest, ends = 0, {}  # of fencing numbers; (crew, fence): when its hold ends
        for span in held:
            who = span.crew, span.fence
            if span.fence <= 0:
                broken.append(Breach("fence", span.begin, f"{span.crew} holds {resource} without a fence"))
            if span.fence < highest:
                broken.append(
                    Breach(
                        "fence",
                        span.begin,
                        f"{span.crew} holds {resource} by {span.fence}, {highest} was held before",
                    )
                )
            for (crew, fence), end in ends.items():
                if (crew, fence) != who and end > span.begin:
                    broken.append(
                        Breach(
                            "holders",
                            span.begin,
                            f"{span.crew} ({span.fence}) and {crew} "
                            f"({fence}) both hold {resource} for "
                            f"{(min(end, span.end) - span.begin) / MILLI:.1f} ms",
                        )
                    )
                if fence == span.fence and crew != span.crew:
                    broken.append(
                        Breach(
                            "fence", span.begin, f"{span.crew} and {crew} had {resource} by one fence {fence}"
                        )
                    )
            ends[who] = max(ends.get(who, 0), span.end)
            highest = max(highest, span.fence)
    return sorted(broken, key=lambda breach: breach.at)


def grants(run):
    """When each permit was first known to be held."""
    first = {}
    for resource, held in spans(run).items():
        for span in held:
            first.setdefault((resource, span.fence), span.begin)
    return sorted(first.values())


def healings(run):
    """[(when, what)]: the wire's faults that ended, gateways that went on or came back."""
    down, found = set(), []
    for event in sorted(run, key=lambda event: event["at"]):
        what = event["what"]
        if what == "fault" and not event["on"]:
            found.append((event["at"], f"fault {event['id']}"))
        elif what in ("killed", "ended", "stopped"):
            down.add(event["gateway"])
        elif what in ("started", "continued") and event["gateway"] in down:
            down.discard(event["gateway"])
            found.append((event["at"], f"gateway {event['gateway']} {what}"))
    return found


def progress(run, within=WITHIN):
    """(healings that were looked at, [Breach]): something was granted within that time after each. Passed
    over where the crews stopped asking sooner."""
    over = max((event["at"] for event in run if event["what"] == "crews over"), default=0)
    looked, granted = [each for each in healings(run) if each[0] + within <= over], grants(run)
    return len(looked), [
        Breach("progress", at, f"nothing was granted within {within / SECOND:g} s after {what}")
        for at, what in looked
        if not any(at < grant <= at + within for grant in granted)
    ]
