"""Leases: what each entry does, whose lease is valid by whose clock, and what is sent again to whom."""

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


class Log:
    """A lease table and the entries that it is given."""

    def __init__(self, **options):
        self.machine, self.index = LeaseTable(**{"initial_wait": False, **options}), 0

    def __call__(self, command, owner=None):
        self.index += 1
        owner = getattr(command, "holder", "") if owner is None else owner
        answer = decode_result(self.machine.apply(self.index, encode(command), owner))
        assert check_table(self.machine) == []
        return answer


def test_a_resource_has_one_holder_and_fencing_tokens_grow():
    log = Log()
    assert log(AcquireLease("host", "a", 1, SECOND)) == CommandResult("", 1)
    assert log(AcquireLease("host", "b", 1, SECOND)).error == "taken"
    assert log(AcquireLease("host", "a", 1, SECOND)).error == "taken"
    assert log(ReleaseLease(1, "b")).error == "gone"
    assert log(RenewLease(1, "b", SECOND)).error == "gone"
    assert log(ReleaseLease(1, "a")) == CommandResult("", 1)
    assert log(ReleaseLease(1, "a")).error == "gone"
    assert log(AcquireLease("host", "b", 1, SECOND)) == CommandResult("", 2)
    log.machine.raise_last_token(1000)
    assert log(AcquireLease("other", "b", 1, SECOND)) == CommandResult("", 1001)


def test_a_pool_is_never_overspent_also_when_it_shrinks():
    log = Log()
    log(ResizePool("room", "a", 5))
    assert log(AcquireLease("room", "a", 3, SECOND)).fencing_token == 1
    assert log(AcquireLease("room", "b", 2, SECOND)).fencing_token == 2
    assert log(AcquireLease("room", "c", 1, SECOND)).error == "taken"
    log(ResizePool("room", "a", 2))
    log(ReleaseLease(2, "b"))
    assert log(AcquireLease("room", "c", 1, SECOND)).error == "taken"
    log(ReleaseLease(1, "a"))
    assert log(AcquireLease("room", "c", 2, SECOND)).fencing_token == 3
    log(ResizePool("room", "a", 1))
    log(ReleaseLease(3, "c"))
    assert not log.machine.pools
    assert not log.machine.amounts_held


def test_an_expiry_of_before_a_renewal_ends_nothing_and_only_the_leader_appends_it():
    log = Log()
    log(AcquireLease("host", "a", 1, SECOND))
    assert log(RenewLease(1, "a", SECOND)).error == ""
    assert log(ExpireLease(1, 1)).error == "not over"
    assert log(ExpireLease(1, 2), "a").error == "not over"  # as the holder says
    assert log(ExpireLease(1, 2)).error == ""
    assert not log.machine.leases


def test_a_new_log_grants_nothing_for_the_longest_duration():
    log = Log(initial_wait=True)
    assert log(AcquireLease("host", "a", 1, SECOND)).error == "quiet after founding"
    assert log.machine.expiry_waits() == [(0, 0, expiry_wait(MAX_LEASE_DURATION))]
    log(ExpireLease(0, 0))
    assert log(AcquireLease("host", "a", 1, SECOND)).fencing_token == 1


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
def test_what_no_holder_may_request_is_rejected_by_the_leader_and_by_the_log(body):
    machine = LeaseTable(initial_wait=False)
    assert machine.check("a", body)
    assert decode_result(machine.apply(1, body, "a")).error
    assert not machine.leases


def test_the_groups_expiry_comes_after_the_holders_with_both_clocks_wrong():
    for duration in (100 * MILLI, SECOND + 1, MAX_LEASE_DURATION):
        slow, fast = 1000 - CLOCK_ERROR_PER_MILLE, 1000 + CLOCK_ERROR_PER_MILLE
        assert expiry_wait(duration) * 1000 * slow >= duration * 1000 * fast
        assert (
            duration * (1000 + 2 * CLOCK_ERROR_PER_MILLE) * slow < duration * 1000 * fast
        )  # why it is not 1 + 2b


def test_the_leaders_timer_counts_from_the_last_renewal():
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


def test_a_command_is_done_once_and_a_forgotten_session_does_nothing():
    one = Sessions(LeaseTable(initial_wait=False))
    one.apply(1, Entry(1, EntryKind.OPEN_SESSION, body=b"a"))
    take = Entry(1, EntryKind.COMMAND, 1, 1, encode(AcquireLease("room", "a", 1, SECOND)))
    first = one.apply(2, take)
    assert one.apply(3, take) == first
    assert one.machine.last_token == 1
    assert one.apply(4, Entry(1, EntryKind.COMMAND, 1, 2, encode(ReleaseLease(1, "a"))))[0] == "done"
    assert one.apply(5, take)[0] == "refused"
    assert not one.machine.leases
    other = Sessions(LeaseTable())
    other.unpack(one.pack())
    assert other.pack() == one.pack()
    assert other.table == one.table
    for index in range(6, 6 + MAX_SESSIONS_PER_CLIENT):
        one.apply(index, Entry(1, EntryKind.OPEN_SESSION, body=b"a"))
    assert one.apply(99, take)[0] == "forgotten"
    assert len(one.table) == MAX_SESSIONS_PER_CLIENT


def client(now=0):
    return LeaseClient("h", ("a", "b", "c"), Chance(1), now)


def opened(now=0):
    one = client(now)
    request = one.acquire(now, "host", 10 * SECOND)
    ((to, message),) = one.tick(now)
    assert (message.session, message.body) == (0, b"")
    sent = one.hear(now, to, Reply(0, message.nonce, "done", opened=5))
    assert sent[0][1].session == 5
    return one, request, sent[0]


def test_a_lease_counts_from_when_it_was_first_requested():
    one, request, (to, message) = opened()
    assert not request.is_valid_at(0)
    ((other, again),) = one.tick(one.due)
    assert again == message
    assert other != to
    granted = Reply(5, 1, "done", encode(CommandResult("", 3)))
    assert one.hear(4 * SECOND, "z", granted) == []
    assert not request.is_valid_at(4 * SECOND)
    one.hear(4 * SECOND, other, granted)
    assert request.is_valid_at(4 * SECOND)
    assert request.fencing_token == 3
    assert request.expires_at == 10 * SECOND
    ((_, renewal),) = one.tick(5 * SECOND)
    assert renewal.body == encode(RenewLease(3, "h", 10 * SECOND))
    assert request.is_valid_at(9 * SECOND)
    assert not request.is_valid_at(10 * SECOND)  # nobody heard
    one.tick(10 * SECOND)
    assert request.state == "over"
    assert not one.requests


def test_a_lease_that_is_granted_too_late_is_released():
    one, request, (to, message) = opened()
    ((_, back),) = one.hear(10 * SECOND, to, Reply(5, 1, "done", encode(CommandResult("", 3))))
    assert request.state == "over"
    assert back.body == encode(ReleaseLease(3, "h"))


def test_a_request_released_before_its_answer_releases_the_lease():
    one, request, (to, message) = opened()
    one.release(0, request)
    ((_, back),) = one.hear(SECOND, to, Reply(5, 1, "done", encode(CommandResult("", 3))))
    assert back.body == encode(ReleaseLease(3, "h"))
    assert not request.is_valid_at(SECOND)


def test_redirects_are_followed_but_not_in_circles():
    one, request, (to, message) = opened()
    first, second = [name for name in "abc" if name != to]
    assert one.hear(0, to, Reply(5, 1, "elsewhere", leader=first)) == [(first, message)]
    assert one.hear(0, first, Reply(5, 1, "elsewhere", leader=second)) == [(second, message)]
    assert one.hear(0, second, Reply(5, 1, "elsewhere", leader=first)) == []
    assert one.hear(0, second, Reply(5, 1, "elsewhere", leader="nobody")) == []
    assert one.due == 100 * MILLI
    assert one.hear(0, second, Reply(5, 1, "busy")) == []
    assert one.tick(one.due) == [(second, message)]


def test_a_forgotten_session_leaves_an_acquisition_unknown_and_repeats_other_commands():
    one, request, (to, message) = opened()
    assert one.hear(0, to, Reply(5, 1, "forgotten")) == []
    assert request.state == "refused"
    assert request.reason == "outcome unknown"
    assert one.due is None
    other, request, (to, message) = opened()
    other.hear(0, to, Reply(5, 1, "done", encode(CommandResult("", 3))))
    other.tick(5 * SECOND)
    ((to, opening),) = other.hear(5 * SECOND, other.receiver, Reply(5, 2, "forgotten"))
    assert opening.session == 0
    assert request.is_valid_at(9 * SECOND)
    ((_, again),) = other.hear(5 * SECOND, to, Reply(0, opening.nonce, "done", opened=9))
    assert again == Request(9, 1, encode(RenewLease(3, "h", 10 * SECOND)))


def settled(clients=2):
    net = Net(3, 3, clients)
    net.run(5 * SECOND)
    return net


def test_a_holder_that_stops_releases_all():
    net = settled()
    for name in ("host-1", "host-2"):
        net.clients["h0"].acquire(net.now, name, 4 * SECOND)
    net.run(SECOND)
    assert len(net.leader.machine.leases) == 2
    net.clients["h0"].release_all(net.now)
    net.run(SECOND)
    assert not net.leader.machine.leases
    assert net.clients["h0"].due is None


def test_a_dead_holders_lease_is_granted_again_only_after_it_expired():
    net = settled()
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


def test_a_new_leader_counts_anew():
    net = settled(1)
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


def test_a_leader_bounds_what_one_holder_and_all_holders_leave_waiting():
    net = settled(0)
    leader = net.leader
    answers = [leader.hear(net.now, "h", Request(0, nonce, b"")) for nonce in range(1, 10)]
    states = [message.state for each in answers for _, message in each if isinstance(message, Reply)]
    assert states == ["busy"] * 5
    for number in range(2000):
        leader.hear(net.now, f"g{number}", Request(0, 1, b""))
    assert leader.log.last_index - leader.commit_index <= 512
    assert leader.rejections["busy"] > 1000
    assert leader.hear(net.now, "h", Request(77, 1, b"x"))[0][1].state == "forgotten"
