"""Scenes for the tests of routing: hosts with a queue, attempts in flight, ranks set by hand."""

from helpers import (
    MILLI,
    task,
)

from gaproute import interface as face
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.request_attempts import RequestAttempts, SentAttempt
from gaproute.interface import Result

MAY_HAVE_RUN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NOT_LOADED]


def attempts_with(made, result, sent=0, *, still_out=False):
    attempts = RequestAttempts()
    attempts.in_flight[0] = SentAttempt(made.hosts_by_id["a"], sent)
    attempts.first_possible_run = attempts.in_flight[0]
    attempts.attempt_count = 1
    if not still_out:
        attempts.record_end(0, result)
    return attempts


def add_in_flight(made, host, sent, attempt=0, request_class=0):
    """An attempt in flight at the host, as the gateway counts it."""
    made.hosts_by_id[host].in_flight[f"t{sent}", attempt] = sent
    made.tracker.in_flight[f"t{sent}", attempt] = InFlightAttempt(host, "f", request_class, sent, True)


def answered(made, host, now, sent, result=Result.OK, request_class=0):
    add_in_flight(made, host, sent, request_class=request_class)
    took, warm = now - sent, face.InstanceStatus.WARM
    made.attempt_ended(now, face.Outcome(f"t{sent}", 0, host, result, took, True, warm, None, None))


def ranked(made, *order, function="f"):
    """The hash's order set by hand."""
    known = made.functions.find_or_add(function, 1)
    known.ranked_hosts = [made.hosts_by_id[name] for name in order]
    known.ranks = {name: rank for rank, name in enumerate(order)}
    known.ranked_version = made.hosts.version
    return known


def single(name="t"):
    return task(name)._replace(lanes=1)


def crowd(made, name, count, now=0):
    made.host_loads.record(made.hosts_by_id[name], now, face.HostLoadReport(in_hand=count))


def heard(made, name, now, sent, result=Result.OK, took=100 * MILLI, of="t", found=face.InstanceStatus.WARM):
    made.tracker.in_flight[of, sent] = InFlightAttempt(name, "f", 0, sent, True)
    made.attempt_ended(now, face.Outcome(of, sent, name, result, took, True, found, None, None))
