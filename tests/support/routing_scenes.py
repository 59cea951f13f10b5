"""Helpers for the tests of routing: load reports, attempts in flight and their outcomes, fixed ranks."""

from helpers import (
    MILLI,
    task,
)

from gaproute import interface
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.request_attempts import RequestAttempts, SentAttempt
from gaproute.interface import Result

MAY_HAVE_RUN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NOT_LOADED]


def attempts_after(gateway, result, sent_at=0, *, in_flight=False):
    """Returns the attempts of a request after one at host "a", which has ended unless it is `in_flight`."""
    attempts = RequestAttempts()
    attempts.in_flight[0] = SentAttempt(gateway.hosts_by_id["a"], sent_at)
    attempts.first_possible_run = attempts.in_flight[0]
    attempts.attempt_count = 1
    if not in_flight:
        attempts.record_end(0, result)
    return attempts


def add_in_flight(gateway, host, sent_at, attempt=0, request_class=0):
    """Registers an attempt in flight at the host."""
    gateway.hosts_by_id[host].in_flight[f"t{sent_at}", attempt] = sent_at
    gateway.tracker.in_flight[f"t{sent_at}", attempt] = InFlightAttempt(
        host, "f", request_class, sent_at, True
    )


def send_and_end_attempt(gateway, host, now, sent_at, result=Result.OK, request_class=0):
    add_in_flight(gateway, host, sent_at, request_class=request_class)
    duration, warm = now - sent_at, interface.InstanceStatus.WARM
    gateway.attempt_ended(
        now, interface.Outcome(f"t{sent_at}", 0, host, result, duration, True, warm, None, None)
    )


def set_ranks(gateway, *order, name="f"):
    """Replaces the ranks of the stable hash by this order of hosts."""
    function = gateway.functions.find_or_add(name, 1)
    function.ranked_hosts = [gateway.hosts_by_id[host_id] for host_id in order]
    function.ranks = {host_id: rank for rank, host_id in enumerate(order)}
    function.ranked_version = gateway.hosts.version
    return function


def single_lane_request(name="t"):
    return task(name)._replace(lanes=1)


def report_load(gateway, host, count, now=0):
    gateway.host_loads.record(gateway.hosts_by_id[host], now, interface.HostLoadReport(in_hand=count))


def end_attempt(
    gateway,
    host,
    now,
    attempt,
    result=Result.OK,
    duration=100 * MILLI,
    request="t",
    found=interface.InstanceStatus.WARM,
):
    """Passes the outcome of an attempt that is registered only in the tracker, not at its host."""
    gateway.tracker.in_flight[request, attempt] = InFlightAttempt(host, "f", 0, attempt, True)
    gateway.attempt_ended(
        now, interface.Outcome(request, attempt, host, result, duration, True, found, None, None)
    )
