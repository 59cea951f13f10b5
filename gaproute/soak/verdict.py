"""Compares what the peers of a gateway saw with the rules of the protocol and the gateway's limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from gaproute.soak.client_connection import Outcome, RequestRecord
from gaproute.soak.departing_clients import DepartedReport
from gaproute.soak.hosts import HostsReport
from gaproute.soak.plan import SoakPlan
from gaproute.soak.usual_clients import LATE_ANSWER_S, ClientsReport, count_outcomes

MIN_SERVED_SHARE = 0.5  # of the requests of usual clients while the hosts are sound
MAX_START_AFTER_LEAVING_S = 0.15  # 0.1 s by the rules, and 0.05 s by which every limit on sockets is longer
MAX_LISTED = 5  # ids in the text of a finding


@dataclass
class Observations:
    """All that was seen of a gateway in one soak."""

    clients: ClientsReport
    hosts: HostsReport
    departed: DepartedReport
    peak_memory_mb: float
    most_descriptors: int
    starts: list[float] = field(default_factory=list)  # when the process began to accept connections
    unexpected_ends: list[str] = field(default_factory=list)


def find_violations(plan: SoakPlan, seen: Observations) -> list[str]:
    """One line for each broken rule or limit."""
    return [
        *seen.unexpected_ends,
        *_limits_exceeded(plan, seen),
        *_unanswered(plan, seen.clients.records),
        *_served_too_rarely(plan, seen.clients.records),
        *_ran_twice(seen),
        *_started_after_leaving(seen),
    ]


def _limits_exceeded(plan: SoakPlan, seen: Observations) -> list[str]:
    found = []
    if seen.peak_memory_mb > plan.memory_mb:
        found.append(f"memory: {seen.peak_memory_mb:.1f} MB of {plan.memory_mb}")
    if seen.most_descriptors > plan.descriptors:
        found.append(f"descriptors: {seen.most_descriptors} of {plan.descriptors}")
    return found


def _unanswered(plan: SoakPlan, records: list[RequestRecord]) -> list[str]:
    """Requests without one final answer in time. In a crowd some wait for a place, and may get none."""
    found = []
    counts = count_outcomes(records)
    lost = [record for record in records if record.outcome is Outcome.LOST]
    if lost:
        firsts = sum(record.number == 1 for record in lost)
        times = [round(record.sent_at - records[0].sent_at, 2) for record in lost[:MAX_LISTED]]
        found.append(
            f"lost: {len(lost)} requests, {firsts} of them the first on their connection; s: {times}"
        )
    if counts[Outcome.UNANSWERED] and not plan.crowded:
        found.append(f"unanswered: {counts[Outcome.UNANSWERED]} requests")
    late = [record for record in records if record.ended_at > record.deadline + LATE_ANSWER_S + 0.05]
    if late and not plan.crowded:
        found.append(f"late: {len(late)} answers")
    twice = [record.request_id for record in records if record.second_answer]
    if twice:
        found.append(f"answered twice: {twice[:MAX_LISTED]}")
    return found


def _served_too_rarely(plan: SoakPlan, records: list[RequestRecord]) -> list[str]:
    counts = count_outcomes(records)
    share = counts[Outcome.SERVED] / max(1, len(records))
    if plan.crowded or share >= MIN_SERVED_SHARE:
        return []
    return [f"served: {share:.2f} of {len(records)} requests of usual clients"]


def _ran_twice(seen: Observations) -> list[str]:
    """Non-idempotent ids that ran twice in one life of the gateway."""
    found = []
    for request_id in seen.hosts.non_idempotent:
        runs = seen.hosts.runs[request_id]
        lives = {sum(start <= run for start in seen.starts) for run in runs}
        if len(runs) > len(lives):
            found.append(request_id)
    return [f"ran twice: {len(found)} ids: {found[:MAX_LISTED]}"] if found else []


def _started_after_leaving(seen: Observations) -> list[str]:
    late = [
        request_id
        for request_id, left_at in seen.departed.left_at.items()
        if max(seen.hosts.runs.get(request_id, [0.0])) > left_at + MAX_START_AFTER_LEAVING_S
    ]
    return [f"began after its client had left: {len(late)} ids: {late[:MAX_LISTED]}"] if late else []
