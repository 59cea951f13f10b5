"""A rollout that a gateway has sent and that has not ended."""

from typing import NamedTuple

from gaproute.shared.leases.requests import LeaseRequest


class InFlightRollout(NamedTuple):
    """`ends_by`: when the rollout's host must have ended it, in ns of the own clock."""

    campaign: str
    host: str
    lease: LeaseRequest
    sent_at: int
    ends_by: int
