"""One gateway's part: what may go out when, and what two gateways may together whatever befalls them."""

from gaproute.rollouts.dispatcher import ASK, FRESH, RolloutDispatcher, pool
from gaproute.rollouts.invariants import check_sent, check_spend
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.commands import ResizePool, encode
from gaproute.shared.raft.messages import Reply
from tests.rollouts.test_campaign import SECOND, campaign


class Keeper:
    """One machine that answers at once, by its entries; `deaf` to whom."""

    def __init__(self, lanes):
        self.machine, self.index, self.deaf = LeaseTable(initial_wait=False), 0, []
        self.machine.apply(1, encode(ResizePool(pool("h"), "x", lanes)), "x")

    def serve(self, now, spend):
        holder, out = spend.holder, spend.holder.tick(now)
        while out and spend not in self.deaf:
            asked, self.index = out[0][1], self.index + 1
            if asked.body:
                reply = Reply(
                    asked.session,
                    asked.nonce,
                    "done",
                    body=self.machine.apply(self.index, asked.body, holder.name),
                )
            else:
                reply = Reply(0, asked.nonce, "done", opened=self.index)
            out = holder.hear(now, "k", reply)


class Zero:
    def below(self, n):
        return 0


def made(name="g", **words):
    given = {"c": campaign(**words), "d": campaign("d", cancel=False)}
    return RolloutDispatcher(LeaseClient(name, ["k"], Zero(), 0), given, 0)


def send(spend, now, name="c"):
    sent = 0
    while (wish := spend.may(now, name, "h")) is not None:
        assert check_sent(spend, now, name, "h") == []
        spend.sent(now, f"{spend.holder.name}{name}{now}{sent}", name, "h", wish)
        sent += 1
    assert check_spend(spend, now) == []
    return sent


def test_nothing_is_sent_without_permit_and_the_hosts_word():
    spend, keeper = made(), Keeper(7)
    spend.aim(0, {"h": {"c": 6}})
    spend.report(0, "h", 0, 8, False)
    assert send(spend, 0) == 0  # asked for, not held
    keeper.serve(0, spend)
    assert send(spend, FRESH) == 0  # the word is too old
    spend.report(FRESH, "h", FRESH, 2, False)
    assert send(spend, FRESH) == 2 and send(spend, FRESH) == 0
    spend.report(FRESH + ASK, "h", FRESH + ASK, 8, True)
    assert send(spend, FRESH + ASK) == 0  # production wants it
    assert keeper.machine.amounts_held == {pool("h"): 6}


def test_production_that_wants_room_stops_all_until_the_host_is_asked_anew():
    spend, keeper = made(), Keeper(7)
    spend.aim(0, {"h": {"c": 4, "d": 2}})
    keeper.serve(0, spend)
    spend.report(0, "h", 0, 8, False)
    assert send(spend, 0) == 4 and send(spend, 0, "d") == 2
    spend.wanted(10, "h")
    assert spend.cancels("h", 3) == ["gc03", "gc02", "gc01"]  # the last first; d's may not be cancelled
    spend.ended(12, "gc03")
    spend.report(20, "h", 5, 8, False)  # asked before
    assert send(spend, 20) == 0
    spend.report(20, "h", 11, 8, False)
    assert send(spend, 20) == 1


def test_a_permit_must_outlast_the_rollout_and_an_unheard_gateway_stops():
    spend, keeper = made(), Keeper(7)
    spend.aim(0, {"h": {"c": 7}})
    keeper.serve(0, spend)
    span, need = spend.campaigns["c"].span, spend.campaigns["c"].need
    keeper.deaf.append(spend)
    for now in (span - need - 1, span - need):
        spend.holder.tick(now)
        spend.report(now, "h", now, 1, False)
        assert send(spend, now) == (now < span - need)
    spend.holder.tick(span)
    spend.tick(span)
    assert not spend.hands and check_spend(spend, span) == []  # its host has ended it


def test_two_processes_of_one_name_share_the_pool_and_a_smaller_aim_is_given_back_when_empty():
    one, twin, keeper = made(), made(), Keeper(6)
    for spend, lanes in ((one, 4), (twin, 6)):
        spend.aim(0, {"h": {"c": lanes}})
        keeper.serve(0, spend)
    for now in range(0, 3 * SECOND, ASK):
        for spend in (one, twin):
            spend.tick(now)
            keeper.serve(now, spend)
            spend.report(now, "h", now, 8, False)
    assert send(one, now) + send(twin, now) == 6
    assert (
        sum(wish.amount for wish in [*one.holder.requests, *twin.holder.requests] if wish.valid_at(now)) == 6
    )
    now += ASK
    one.aim(now, {})
    keeper.serve(now, one)
    assert len(one.hands) and keeper.machine.amounts_held == {pool("h"): 6}  # not before they have ended
    for task in list(one.hands):
        one.ended(now, task)
    one.tick(now)
    keeper.serve(now, one)
    assert keeper.machine.amounts_held[pool("h")] == 2 and not one.parts
    for later in range(now, now + SECOND, ASK):
        twin.tick(later)
        keeper.serve(later, twin)
    assert keeper.machine.amounts_held[pool("h")] == 6


def test_a_cold_host_bears_a_fourth_and_a_pace_is_kept():
    spend, keeper = made(), Keeper(8)
    spend.aim(0, {"h": {"c": 8}})
    keeper.serve(0, spend)
    spend.report(0, "h", 0, 8, False, cold=True)
    assert send(spend, 0) == 2
    spend.aim(0, {"h": {"c": 8}}, {"c": 1.0, "x": 2.0})
    spend.paces["c"].left = 1.5
    spend.report(1, "h", 1, 8, False)
    assert send(spend, 1) == 1
    spend.report(SECOND, "h", SECOND, 8, False)
    assert send(spend, SECOND) == 1
