"""The rules on whether a request may be sent once more, and to which hosts."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Idempotency, IdempotencyScope, RequestClass, RoutingSettings


class RetryRules:
    """The rules on further attempts, by request class; an attempt in flight counts as one that has run."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.attempt_limit, self.hedging_allowed = settings.attempt_limit, settings.hedging_allowed

    def allows(self, host: Host, request_class: RequestClass, attempts: RequestAttempts, now: int) -> bool:
        """Whether the host may be sent the request now."""
        if attempts.attempt_count >= self.attempt_limit or not host.active:
            return False
        if attempts.in_flight and not self.hedging_allowed:
            return False
        first_possible_run = attempts.first_possible_run
        if first_possible_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return False
        if not _share_idempotency_keys(request_class.idempotency_scope, host, first_possible_run.host):
            return False
        return now < self.start_by(request_class, attempts, NEVER)

    def start_by(self, request_class: RequestClass, attempts: RequestAttempts, end: int) -> int:
        """When an attempt may begin at the latest, where it has to wait for its connection (ns)."""
        if (
            attempts.first_possible_run is None
            or request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
        ):
            return end
        return min(end, attempts.first_possible_run.sent_at + request_class.deduplication_window)


def _share_idempotency_keys(group: IdempotencyScope, one: Host, other: Host) -> bool:
    """Whether both hosts know each other's idempotency keys."""
    if group is IdempotencyScope.ZONE:
        return one.zone == other.zone
    if group is IdempotencyScope.CELL:
        return one.cell == other.cell
    return True
