"""The decisions on admission: which connections are accepted, served next and evicted."""

import pytest
from client_admission import admission
from hypothesis import given
from hypothesis import strategies as st

from gaproute.decisions.admission.admission import (
    HOST_DESCRIPTOR_SHARE,
    IDLE_JITTER_SHARE,
    MAX_NEW_WAITING,
    MIN_EVICTION_IDLE_TIME,
    RESERVED_DESCRIPTORS,
    AdmissionDecision,
    AdmissionQueue,
)
from gaproute.http1 import Limits

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


def test_connection_limit_leaves_the_descriptors_reserved_for_hosts_and_operators():
    assert admission(
        max_connections=10**6, descriptors=20_000
    ).max_connections == 20_000 - RESERVED_DESCRIPTORS - int(20_000 * HOST_DESCRIPTOR_SHARE)
    assert admission(max_connections=100).max_connections == 100
    assert admission(descriptors=10).max_connections == 1


@pytest.mark.parametrize(
    ("client_count", "address_count", "can_evict", "decision"),
    [
        (9, 0, False, AdmissionDecision.ACCEPT),
        (10, 0, True, AdmissionDecision.EVICT),
        (10, 0, False, AdmissionDecision.REJECT),
        (5, 10, True, AdmissionDecision.REJECT),
    ],
)
def test_a_new_connection_is_accepted_evicts_another_or_is_rejected(
    client_count, address_count, can_evict, decision
):
    assert admission().decide_admission(client_count, address_count, can_evict=can_evict) is decision


def test_eviction_chooses_fewest_requests_then_longest_idle_and_skips_recently_busy():
    now = 100 * SECOND
    assert (
        admission().eviction_candidate(
            now,
            [
                (5, 10 * SECOND, 1),
                (0, 20 * SECOND, 2),
                (0, 30 * SECOND, 3),
            ],
        )
        == 2
    )
    assert admission().eviction_candidate(now, [(0, now - MIN_EVICTION_IDLE_TIME + 1, 1)]) is None
    assert admission().eviction_candidate(now, []) is None


def test_returning_connections_get_most_of_the_turns_and_new_ones_are_not_starved():
    decisions = admission()
    queues = [decisions.next_queue(1000, 100, has_arriving=True) for _ in range(4000)]
    assert queues.count(AdmissionQueue.RETURNING) == 3000
    assert 300 < queues.count(AdmissionQueue.NEW) < 700
    assert 300 < queues.count(AdmissionQueue.ARRIVING) < 700
    assert decisions.next_queue(0, 0, has_arriving=False) is None
    assert {decisions.next_queue(1, 0, has_arriving=False) for _ in range(8)} == {AdmissionQueue.RETURNING}
    assert {decisions.next_queue(0, MAX_NEW_WAITING, has_arriving=True) for _ in range(50)} == {
        AdmissionQueue.NEW
    }  # accepting waits while too many new connections wait


@given(st.integers(1, 10**12), st.integers(0, 10**12))
def test_jitter_lengthens_an_idle_time_and_never_shortens_it(idle, now):
    deadlines = {admission().idle_deadline(now, idle) for _ in range(5)}
    assert all(now + idle <= deadline <= now + idle * (1 + IDLE_JITTER_SHARE) + 1 for deadline in deadlines)
