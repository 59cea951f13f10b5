"""Rules on whether a request may be sent again, and to which hosts."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Idempotency, IdempotencyScope, RequestClass, RoutingSettings


class RetryRules:
    """Rules on further attempts by request class; an attempt in flight counts as one that may have run."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.attempt_limit, self.hedging_allowed = settings.attempt_limit, settings.hedging_allowed

    def allows(self, host: Host, request_class: RequestClass, attempts: RequestAttempts, now: int) -> bool:
        """Whether the request may be sent to the host now."""
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

    def start_by(self, request_class: RequestClass, attempts: RequestAttempts, latest: int) -> int:
        """Returns the latest time at which an attempt may start after waiting for its connection (ns).

        The result is `latest` unless the hosts forget the idempotency key of the request earlier.
        """
        if (
            attempts.first_possible_run is None
            or request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
        ):
            return latest
        return min(latest, attempts.first_possible_run.sent_at + request_class.deduplication_window)


def _share_idempotency_keys(scope: IdempotencyScope, one: Host, other: Host) -> bool:
    """Whether both hosts recognize the same idempotency keys."""
    if scope is IdempotencyScope.ZONE:
        return one.zone == other.zone
    if scope is IdempotencyScope.CELL:
        return one.cell == other.cell
    return True
