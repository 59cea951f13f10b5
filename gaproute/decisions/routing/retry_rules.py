"""The rules on whether a request may be sent once more, and to which hosts."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Idempotency, IdempotencyScope, RequestClass, RoutingSettings


class RetryRules:
    """The rules on further attempts, by request class; an attempt in flight counts as one that has run."""

    def __init__(self, terms: RoutingSettings) -> None:
        self.attempt_limit, self.hedging_allowed = terms.attempt_limit, terms.hedging_allowed

    def allowed(self, host: Host, request_class: RequestClass, attempts: RequestAttempts, now: int) -> bool:
        """Whether the host may be sent the request now."""
        if attempts.started >= self.attempt_limit or not host.active:
            return False
        if attempts.in_flight and not self.hedging_allowed:
            return False
        first_run = attempts.first_run
        if first_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return False
        if not _same_group(request_class.group, host, first_run.host):
            return False
        return now < self.begin_by(request_class, attempts, NEVER)

    def begin_by(self, request_class: RequestClass, attempts: RequestAttempts, end: int) -> int:
        """When an attempt may begin at the latest, where it has to wait for its connection (ns)."""
        if attempts.first_run is None or request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return end
        return min(end, attempts.first_run.sent_at + request_class.repeat_window)


def _same_group(group: IdempotencyScope, one: Host, other: Host) -> bool:
    """Whether both hosts know each other's idempotency keys."""
    if group is IdempotencyScope.ZONE:
        return one.zone == other.zone
    if group is IdempotencyScope.CELL:
        return one.cell == other.cell
    return True
