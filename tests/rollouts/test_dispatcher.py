"""One dispatcher: what it may send when, and what two may send together whatever happens."""

from gaproute.rollouts.dispatcher import MAX_REPORT_AGE, POLL_INTERVAL, RolloutDispatcher, pool_name
from gaproute.rollouts.host_allotment import HostAvailability
from gaproute.rollouts.invariants import check_dispatcher, check_sent
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.commands import ResizePool, encode
from gaproute.shared.raft.messages import Reply
from tests.rollouts.test_campaign import SECOND, campaign

POOL = pool_name("h")


class LeaseServer:
    """A lease table that answers at once, but not the dispatchers in `ignored`."""

    def __init__(self, lanes):
        self.table, self.index, self.ignored = LeaseTable(initial_wait=False), 0, []
        self.table.apply(1, encode(ResizePool(POOL, "x", lanes)), "x")

    def serve(self, now, dispatcher):
        client, messages = dispatcher.client, dispatcher.client.tick(now)
        while messages and dispatcher not in self.ignored:
            request, self.index = messages[0][1], self.index + 1
            if request.body:
                result = self.table.apply(self.index, request.body, client.name)
                reply = Reply(request.session, request.nonce, "done", body=result)
            else:
                reply = Reply(0, request.nonce, "done", opened=self.index)
            messages = client.hear(now, "k", reply)


class AlwaysZero:
    def below(self, bound):
        return 0


def new_dispatcher(name="g", **changes):
    campaigns = {"c": campaign(**changes), "d": campaign("d", cancellable=False)}
    return RolloutDispatcher(LeaseClient(name, ["k"], AlwaysZero(), 0), campaigns, 0)


def report(dispatcher, now, asked_at, free_lanes, *, waiting=False, warming_up=False):
    dispatcher.record_report(now, "h", HostAvailability(asked_at, free_lanes, waiting, warming_up))


def send_all(dispatcher, now, name="c"):
    """Sends as many rollouts as may be sent now; returns how many."""
    sent = 0
    while (lease := dispatcher.find_lease(now, name, "h")) is not None:
        assert check_sent(dispatcher, now, name, "h") == []
        dispatcher.record_sent(now, f"{dispatcher.client.name}{name}{now}{sent}", name, "h", lease)
        sent += 1
    assert check_dispatcher(dispatcher, now) == []
    return sent


def test_nothing_is_sent_without_a_lease_and_a_report_of_the_host():
    dispatcher, server = new_dispatcher(), LeaseServer(7)
    dispatcher.set_targets(0, {"h": {"c": 6}})
    report(dispatcher, 0, 0, 8)
    assert send_all(dispatcher, 0) == 0  # requested, not held
    server.serve(0, dispatcher)
    now = MAX_REPORT_AGE
    assert send_all(dispatcher, now) == 0  # the report is too old
    report(dispatcher, now, now, 2)
    assert send_all(dispatcher, now) == 2
    assert send_all(dispatcher, now) == 0
    now += POLL_INTERVAL
    report(dispatcher, now, now, 8, waiting=True)
    assert send_all(dispatcher, now) == 0  # production needs it
    assert server.table.amounts_held == {POOL: 6}


def test_production_that_waits_stops_all_until_the_host_is_asked_anew():
    dispatcher, server = new_dispatcher(), LeaseServer(7)
    dispatcher.set_targets(0, {"h": {"c": 4, "d": 2}})
    server.serve(0, dispatcher)
    report(dispatcher, 0, 0, 8)
    assert send_all(dispatcher, 0) == 4
    assert send_all(dispatcher, 0, "d") == 2
    dispatcher.record_production_waiting(10, "h")
    # The last sent come first; those of `d` may not be cancelled.
    assert dispatcher.rollouts_to_cancel("h", 3) == ["gc03", "gc02", "gc01"]
    dispatcher.record_ended("gc03")
    report(dispatcher, 20, 5, 8)  # asked for before
    assert send_all(dispatcher, 20) == 0
    report(dispatcher, 20, 11, 8)
    assert send_all(dispatcher, 20) == 1


def test_a_lease_must_outlast_the_rollout_and_a_gateway_that_is_cut_off_stops():
    dispatcher, server = new_dispatcher(), LeaseServer(7)
    dispatcher.set_targets(0, {"h": {"c": 7}})
    server.serve(0, dispatcher)
    campaign = dispatcher.campaigns["c"]
    last_sent_at = campaign.lease_duration - campaign.min_lease_time - 1
    server.ignored.append(dispatcher)
    for now in (last_sent_at, last_sent_at + 1):
        dispatcher.client.tick(now)
        report(dispatcher, now, now, 1)
        assert send_all(dispatcher, now) == (now == last_sent_at)
    now = campaign.lease_duration
    dispatcher.client.tick(now)
    dispatcher.tick(now)
    assert not dispatcher.in_flight  # its host has ended it
    assert check_dispatcher(dispatcher, now) == []


def test_two_processes_of_one_name_share_the_pool_and_surplus_is_released_when_empty():
    first, second, server = new_dispatcher(), new_dispatcher(), LeaseServer(6)
    for dispatcher, lanes in ((first, 4), (second, 6)):
        dispatcher.set_targets(0, {"h": {"c": lanes}})
        server.serve(0, dispatcher)
    for now in range(0, 3 * SECOND, POLL_INTERVAL):
        for dispatcher in (first, second):
            dispatcher.tick(now)
            server.serve(now, dispatcher)
            report(dispatcher, now, now, 8)
    assert send_all(first, now) + send_all(second, now) == 6
    leases = [*first.client.requests, *second.client.requests]
    assert sum(lease.amount for lease in leases if lease.is_valid_at(now)) == 6
    now += POLL_INTERVAL
    first.set_targets(now, {})
    server.serve(now, first)
    assert first.in_flight
    assert server.table.amounts_held == {POOL: 6}  # not before its rollouts have ended
    for rollout in list(first.in_flight):
        first.record_ended(rollout)
    first.tick(now)
    server.serve(now, first)
    assert server.table.amounts_held[POOL] == 2
    assert not first.allotments
    for later in range(now, now + SECOND, POLL_INTERVAL):
        second.tick(later)
        server.serve(later, second)
    assert server.table.amounts_held[POOL] == 6


def test_a_host_that_warms_up_gets_a_quarter_and_a_rate_is_not_exceeded():
    dispatcher, server = new_dispatcher(), LeaseServer(8)
    dispatcher.set_targets(0, {"h": {"c": 8}})
    server.serve(0, dispatcher)
    report(dispatcher, 0, 0, 8, warming_up=True)
    assert send_all(dispatcher, 0) == 2
    dispatcher.set_targets(0, {"h": {"c": 8}}, {"c": 1.0, "x": 2.0})
    dispatcher.rate_limits["c"].tokens = 1.5
    report(dispatcher, 1, 1, 8)
    assert send_all(dispatcher, 1) == 1
    report(dispatcher, SECOND, SECOND, 8)
    assert send_all(dispatcher, SECOND) == 1
