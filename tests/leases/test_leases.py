"""Leases: the effect of each log entry, validity by different clocks, and resending by the client."""

import pytest
from raft_net import MILLI, SECOND, Chance, Net

from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.commands import (
    CLOCK_ERROR_PER_MILLE,
    MAX_LEASE_DURATION,
    AcquireLease,
    CommandResult,
    ExpireLease,
    ReleaseLease,
    RenewLease,
    ResizePool,
    decode_result,
    encode,
    expiry_wait,
)
from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.leases.invariants import check_table
from gaproute.shared.raft.messages import Entry, EntryKind, Reply, Request
from gaproute.shared.raft.sessions import MAX_SESSIONS_PER_CLIENT, Sessions


class TableLog:
    """A lease table, and the index of the last log entry that was applied to it."""

    def __init__(self, **options):
        self.table, self.index = LeaseTable(**{"initial_wait": False, **options}), 0

    def apply(self, command, owner=None):
        self.index += 1
        owner = getattr(command, "holder", "") if owner is None else owner
        result = decode_result(self.table.apply(self.index, encode(command), owner))
        assert check_table(self.table) == []
        return result


def test_a_resource_has_one_holder_and_fencing_tokens_grow():
    log = TableLog()
    assert log.apply(AcquireLease("host", "a", 1, SECOND)) == CommandResult("", 1)
    assert log.apply(AcquireLease("host", "b", 1, SECOND)).error == "taken"
    assert log.apply(AcquireLease("host", "a", 1, SECOND)).error == "taken"
    assert log.apply(ReleaseLease(1, "b")).error == "gone"
    assert log.apply(RenewLease(1, "b", SECOND)).error == "gone"
    assert log.apply(ReleaseLease(1, "a")) == CommandResult("", 1)
    assert log.apply(ReleaseLease(1, "a")).error == "gone"
    assert log.apply(AcquireLease("host", "b", 1, SECOND)) == CommandResult("", 2)
    log.table.raise_last_token(1000)
    assert log.apply(AcquireLease("other", "b", 1, SECOND)) == CommandResult("", 1001)


def test_a_pool_never_grants_more_than_its_size_even_after_it_shrinks():
    log = TableLog()
    log.apply(ResizePool("room", "a", 5))
    assert log.apply(AcquireLease("room", "a", 3, SECOND)).fencing_token == 1
    assert log.apply(AcquireLease("room", "b", 2, SECOND)).fencing_token == 2
    assert log.apply(AcquireLease("room", "c", 1, SECOND)).error == "taken"
    log.apply(ResizePool("room", "a", 2))
    log.apply(ReleaseLease(2, "b"))
    assert log.apply(AcquireLease("room", "c", 1, SECOND)).error == "taken"
    log.apply(ReleaseLease(1, "a"))
    assert log.apply(AcquireLease("room", "c", 2, SECOND)).fencing_token == 3
    log.apply(ResizePool("room", "a", 1))
    log.apply(ReleaseLease(3, "c"))
    assert not log.table.pools
    assert not log.table.amounts_held


def test_an_expiry_that_names_an_entry_before_a_renewal_has_no_effect_and_only_the_leader_may_append_it():
    log = TableLog()
    log.apply(AcquireLease("host", "a", 1, SECOND))
    assert log.apply(RenewLease(1, "a", SECOND)).error == ""
    assert log.apply(ExpireLease(1, 1)).error == "not over"
    assert log.apply(ExpireLease(1, 2), "a").error == "not over"  # a client may not expire a lease
    assert log.apply(ExpireLease(1, 2)).error == ""
    assert not log.table.leases


def test_a_new_log_grants_no_lease_until_the_longest_duration_has_passed():
    log = TableLog(initial_wait=True)
    assert log.apply(AcquireLease("host", "a", 1, SECOND)).error == "quiet after founding"
    assert log.table.expiry_waits() == [(0, 0, expiry_wait(MAX_LEASE_DURATION))]
    log.apply(ExpireLease(0, 0))
    assert log.apply(AcquireLease("host", "a", 1, SECOND)).fencing_token == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"noise",
        encode(ExpireLease(1, 1)),
        encode(AcquireLease("h", "z", 1, SECOND)),
        encode(AcquireLease("h", "a", 0, SECOND)),
        encode(AcquireLease("h", "a", 1, -SECOND)),
        encode(AcquireLease("h", "a", 1, MAX_LEASE_DURATION + 1)),
        encode(AcquireLease("h" * 200, "a", 1, SECOND)),
    ],
)
def test_a_command_that_no_client_may_send_is_rejected_by_the_leader_and_by_the_table(body):
    table = LeaseTable(initial_wait=False)
    assert table.check("a", body)
    assert decode_result(table.apply(1, body, "a")).error
    assert not table.leases


def test_a_lease_expires_at_its_holder_before_the_group_with_the_largest_error_of_both_clocks():
    for duration in (100 * MILLI, SECOND + 1, MAX_LEASE_DURATION):
        slow, fast = 1000 - CLOCK_ERROR_PER_MILLE, 1000 + CLOCK_ERROR_PER_MILLE
        assert expiry_wait(duration) * 1000 * slow >= duration * 1000 * fast
        assert (
            duration * (1000 + 2 * CLOCK_ERROR_PER_MILLE) * slow < duration * 1000 * fast
        )  # 1 + 2b is too short


def test_the_leaders_timer_counts_from_the_last_renewal_and_outdated_heap_entries_are_bounded():
    timers = ExpiryTimers(0, [(7, 1, 10)])
    timers.update(5, 7, 2, 10)
    assert timers.pop_expired(10, 9) == []
    assert timers.pop_expired(14, 9) == []
    assert timers.pop_expired(15, 9) == [(7, 2)]
    timers.update(20, 8, 3, 10)
    timers.update(21, 8, 3, None)
    assert timers.pop_expired(99, 9) == []
    for number in range(1000):
        timers.update(number, 9, number, 10)
    assert len(timers.expiry_heap) < 200


def test_a_repeated_command_is_applied_once_and_a_command_of_a_forgotten_session_is_not_applied():
    sessions = Sessions(LeaseTable(initial_wait=False))
    sessions.apply(1, Entry(1, EntryKind.OPEN_SESSION, body=b"a"))
    acquisition = Entry(1, EntryKind.COMMAND, 1, 1, encode(AcquireLease("room", "a", 1, SECOND)))
    first_result = sessions.apply(2, acquisition)
    assert sessions.apply(3, acquisition) == first_result
    assert sessions.machine.last_token == 1
    assert sessions.apply(4, Entry(1, EntryKind.COMMAND, 1, 2, encode(ReleaseLease(1, "a"))))[0] == "done"
    assert sessions.apply(5, acquisition)[0] == "refused"
    assert not sessions.machine.leases
    restored = Sessions(LeaseTable())
    restored.unpack(sessions.pack())
    assert restored.pack() == sessions.pack()
    assert restored.table == sessions.table
    for index in range(6, 6 + MAX_SESSIONS_PER_CLIENT):
        sessions.apply(index, Entry(1, EntryKind.OPEN_SESSION, body=b"a"))
    assert sessions.apply(99, acquisition)[0] == "forgotten"
    assert len(sessions.table) == MAX_SESSIONS_PER_CLIENT


def make_client(now=0):
    return LeaseClient("h", ("a", "b", "c"), Chance(1), now)


def client_with_sent_acquisition(now=0):
    client = make_client(now)
    request = client.acquire(now, "host", 10 * SECOND)
    ((receiver, message),) = client.tick(now)
    assert (message.session, message.body) == (0, b"")
    sent = client.hear(now, receiver, Reply(0, message.nonce, "done", opened=5))
    assert sent[0][1].session == 5
    return client, request, sent[0]


def test_a_lease_is_valid_from_when_its_acquisition_was_first_sent():
    client, request, (receiver, message) = client_with_sent_acquisition()
    assert not request.is_valid_at(0)
    ((next_receiver, repeated),) = client.tick(client.due)
    assert repeated == message
    assert next_receiver != receiver
    granted = Reply(5, 1, "done", encode(CommandResult("", 3)))
    assert client.hear(4 * SECOND, "z", granted) == []
    assert not request.is_valid_at(4 * SECOND)
    client.hear(4 * SECOND, next_receiver, granted)
    assert request.is_valid_at(4 * SECOND)
    assert request.fencing_token == 3
    assert request.expires_at == 10 * SECOND
    ((_, renewal),) = client.tick(5 * SECOND)
    assert renewal.body == encode(RenewLease(3, "h", 10 * SECOND))
    assert request.is_valid_at(9 * SECOND)
    assert not request.is_valid_at(10 * SECOND)  # the renewal was not answered
    client.tick(10 * SECOND)
    assert request.state == "over"
    assert not client.requests


def test_a_lease_that_is_granted_too_late_is_released():
    client, request, (receiver, message) = client_with_sent_acquisition()
    ((_, release),) = client.hear(10 * SECOND, receiver, Reply(5, 1, "done", encode(CommandResult("", 3))))
    assert request.state == "over"
    assert release.body == encode(ReleaseLease(3, "h"))


def test_a_lease_whose_request_was_released_before_the_answer_is_released():
    client, request, (receiver, message) = client_with_sent_acquisition()
    client.release(0, request)
    ((_, release),) = client.hear(SECOND, receiver, Reply(5, 1, "done", encode(CommandResult("", 3))))
    assert release.body == encode(ReleaseLease(3, "h"))
    assert not request.is_valid_at(SECOND)


def test_a_client_follows_redirects_but_not_in_circles():
    client, request, (receiver, message) = client_with_sent_acquisition()
    first, second = [name for name in "abc" if name != receiver]
    assert client.hear(0, receiver, Reply(5, 1, "elsewhere", leader=first)) == [(first, message)]
    assert client.hear(0, first, Reply(5, 1, "elsewhere", leader=second)) == [(second, message)]
    assert client.hear(0, second, Reply(5, 1, "elsewhere", leader=first)) == []
    assert client.hear(0, second, Reply(5, 1, "elsewhere", leader="nobody")) == []
    assert client.due == 100 * MILLI
    assert client.hear(0, second, Reply(5, 1, "busy")) == []
    assert client.tick(client.due) == [(second, message)]


def test_after_a_forgotten_session_an_acquisition_has_an_unknown_outcome_and_a_renewal_is_repeated():
    client, request, (receiver, message) = client_with_sent_acquisition()
    assert client.hear(0, receiver, Reply(5, 1, "forgotten")) == []
    assert request.state == "refused"
    assert request.reason == "outcome unknown"
    assert client.due is None
    renewing_client, request, (receiver, message) = client_with_sent_acquisition()
    renewing_client.hear(0, receiver, Reply(5, 1, "done", encode(CommandResult("", 3))))
    renewing_client.tick(5 * SECOND)
    ((receiver, session_request),) = renewing_client.hear(
        5 * SECOND, renewing_client.receiver, Reply(5, 2, "forgotten")
    )
    assert session_request.session == 0
    assert request.is_valid_at(9 * SECOND)
    ((_, repeated),) = renewing_client.hear(
        5 * SECOND, receiver, Reply(0, session_request.nonce, "done", opened=9)
    )
    assert repeated == Request(9, 1, encode(RenewLease(3, "h", 10 * SECOND)))


def group_with_leader(clients=2):
    net = Net(3, 3, clients)
    net.run(5 * SECOND)
    return net


def test_release_all_releases_every_lease_of_a_client():
    net = group_with_leader()
    for name in ("host-1", "host-2"):
        net.clients["h0"].acquire(net.now, name, 4 * SECOND)
    net.run(SECOND)
    assert len(net.leader.machine.leases) == 2
    net.clients["h0"].release_all(net.now)
    net.run(SECOND)
    assert not net.leader.machine.leases
    assert net.clients["h0"].due is None


def test_the_lease_of_a_dead_holder_is_granted_again_only_after_it_expired():
    net = group_with_leader()
    request = net.clients["h0"].acquire(net.now, "host", 4 * SECOND)
    net.run(SECOND)
    assert request.is_valid_at(net.now)
    assert request.fencing_token == 1
    del net.clients["h0"]
    other = net.clients["h1"].acquire(net.now, "host", 4 * SECOND)
    net.run(SECOND)
    assert other.state == "refused"
    assert other.reason == "taken"
    net.run(6 * SECOND)
    other = net.clients["h1"].acquire(net.now, "host", 4 * SECOND)
    net.run(SECOND)
    assert other.is_valid_at(net.now)
    assert other.fencing_token == 2


def test_a_new_leader_counts_the_whole_duration_of_a_lease_again():
    net = group_with_leader(1)
    net.clients["h0"].acquire(net.now, "host", 4 * SECOND)
    net.run(SECOND)
    del net.clients["h0"]
    net.run(2 * SECOND)
    net.crash(net.leader.name)
    while net.leader is None:
        net.step()
    since, leader = net.now, net.leader
    while leader.machine.leases:
        net.step()
    assert net.now - since >= expiry_wait(4 * SECOND)


def test_a_leader_limits_the_pending_commands_of_one_client_and_of_all_clients():
    net = group_with_leader(0)
    leader = net.leader
    answers = [leader.hear(net.now, "h", Request(0, nonce, b"")) for nonce in range(1, 10)]
    states = [message.state for each in answers for _, message in each if isinstance(message, Reply)]
    assert states == ["busy"] * 5
    for number in range(2000):
        leader.hear(net.now, f"g{number}", Request(0, 1, b""))
    assert leader.log.last_index - leader.commit_index <= 512
    assert leader.rejections["busy"] > 1000
    assert leader.hear(net.now, "h", Request(77, 1, b"x"))[0][1].state == "forgotten"
