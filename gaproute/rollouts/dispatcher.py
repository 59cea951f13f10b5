"""One gateway's part of the hosts' room: what it may send where, under permits, production first.

A rollout goes out only if all of these hold: a permit of that host's pool has a free lane and stands, by the
own clock, until after the rollout's way and longest run; the host itself said lately that it has room to
spare and that no production waits; the pace has a turn. The first keeps the sum of all parts under the room
whoever is cut off, restarted or doubled: a permit's lane is given back, or lapses, only when what ran on it
has ended. The second stops rollouts for production within FRESH although nobody else is heard: who does not
hear the host sends nothing.
"""

from collections import Counter

from gaproute.rollouts.rate_limit import RateLimit

MILLI = 1_000_000

FRESH = 150 * MILLI  # ns from asking a host until its answer says nothing any more; 200 ms is the promise
ASK = 25 * MILLI  # between askings of a host with a part: production waits so long for a cancel
AGAIN = 300 * MILLI  # until a permit that was refused is asked again
PARTS = 1024  # hosts with a part: as many wishes as a holder has
HANDS = 4096  # rollouts in hand
CHUNK = 4  # lanes a permit: less is renewed too often, more cannot be given back in parts
COLD = 4  # a cold host bears a fourth of its part: rule 4's rest is production's


class HostAllotment:
    """What this gateway has of one host."""

    def __init__(self):
        self.aims = {}  # campaign: lanes planned
        self.wishes = {}  # wish: rollouts in hand under it
        self.closing = []  # wishes that get no more and go back when empty
        self.hands = Counter()  # campaign: rollouts in hand
        self.asked, self.free, self.want, self.cold = None, 0, True, False
        self.after = 0  # only what was asked after this counts
        self.again, self.chunk = 0, CHUNK  # after a refusal less is asked: a part of it may be there


class InFlightRollout:
    __slots__ = ("campaign", "host", "wish", "sent", "until")

    def __init__(self, campaign, host, wish, sent, until):
        self.campaign, self.host, self.wish, self.sent, self.until = campaign, host, wish, sent, until


class RolloutDispatcher:
    """`holder`: the gateway's `LeaseClient`; `campaigns`: {name: Campaign}."""

    def __init__(self, holder, campaigns, now):
        self.holder, self.campaigns = holder, campaigns
        self.parts, self.hands = {}, {}  # host: HostAllotment; task: InFlightRollout
        self.paces = {name: RateLimit(now) for name in campaigns}
        self.refused = Counter()

    # What is planned

    def aim(self, now, aims, paces=None):
        """`aims`: {host: {campaign: lanes}}; a host that is not named is given back. `paces`: {campaign: a
        second}."""
        for host in [host for host in aims if host not in self.parts][: PARTS - len(self.parts)]:
            self.parts[host] = HostAllotment()
        for host, part in self.parts.items():
            part.aims = {
                name: lanes
                for name, lanes in aims.get(host, {}).items()
                if name in self.campaigns and lanes > 0
            }
        for name, rate in (paces or {}).items():
            if name in self.paces:
                self.paces[name].rate = rate
        self.tick(now)

    def tick(self, now):
        """Permits follow the aims; what never answered is over when its host must have ended it."""
        for task in [task for task, hand in self.hands.items() if hand.until <= now]:
            self.ended(now, task)
        for host in list(self.parts):
            part = self.parts[host]
            for wish in [wish for wish in part.wishes if wish.state not in ("asked", "held")]:
                if wish.state == "refused":
                    part.chunk, part.again = max(1, part.chunk // 2), now + AGAIN
                if not part.wishes[wish]:
                    del part.wishes[wish]  # else when the last under it has ended
            open_ = [
                wish for wish in part.wishes if wish not in part.closing and wish.state in ("asked", "held")
            ]
            has, aim = sum(wish.amount for wish in open_), sum(part.aims.values())
            for wish in sorted(open_, key=lambda wish: (part.wishes[wish], wish.amount)):
                if has - wish.amount >= aim:
                    part.closing.append(wish)
                    has -= wish.amount
            part.closing = [wish for wish in part.closing if wish in part.wishes]
            for wish in [wish for wish in part.closing if not part.wishes[wish]]:
                part.closing.remove(wish)
                del part.wishes[wish]
                self.holder.release(now, wish)
            if any(wish.state == "held" for wish in open_) and now >= part.again + AGAIN:
                part.chunk = CHUNK
            while has < aim and now >= part.again and len(self.holder.requests) < PARTS:
                span = max(self.campaigns[name].span for name in part.aims)
                amount = min(part.chunk, aim - has)
                part.wishes[self.holder.acquire(now, pool(host), span, amount)] = 0
                has += amount
            if not part.aims and not part.wishes:
                del self.parts[host]

    # What hosts and others say

    def asking(self, now):
        """Hosts to be asked now how much room they have."""
        return [host for host, part in self.parts.items() if part.aims]

    def report(self, now, host, asked, free, want, cold=False):
        """The host's answer to what was asked at `asked`, own clock: lanes free above its floor, whether
        production waits or has taken the floor."""
        part = self.parts.get(host)
        if part is None or asked > now or asked < part.after or part.asked is not None and asked < part.asked:
            return
        part.asked, part.want, part.cold = asked, bool(want), bool(cold)
        since = sum(hand.host == host and hand.sent >= asked for hand in self.hands.values())
        part.free = max(0, free) - since

    def wanted(self, now, host):
        """Own tasks found no room there, or another gateway told so: nothing more until the host, asked after
        this, says that there is room."""
        part = self.parts.get(host)
        if part is not None:
            part.want, part.after = True, now

    def cancels(self, host, lanes):
        """Rollouts to be taken back so that production gets `lanes`: the last sent first, least is lost by
        them."""
        mine = [
            task
            for task, hand in self.hands.items()
            if hand.host == host and self.campaigns[hand.campaign].cancel
        ]
        return mine[::-1][: max(0, lanes)]

    # What goes out

    def may(self, now, name, host):
        """The wish under which a rollout of this campaign may go there now, or None."""
        campaign, part = self.campaigns.get(name), self.parts.get(host)
        if campaign is None or part is None or len(self.hands) >= HANDS:
            return None
        most = part.aims.get(name, 0)
        if part.cold:
            most = min(most, max(1, sum(part.aims.values()) // COLD))
        if (
            part.hands[name] >= most
            or part.asked is None
            or now - part.asked >= FRESH
            or part.want
            or part.free <= 0
            or not self.paces[name].may(now)
        ):
            return None
        for wish, hands in part.wishes.items():
            if wish not in part.closing and hands < wish.amount and wish.valid_at(now + campaign.need):
                return wish
        return None

    def sent(self, now, task, name, host, wish):
        part = self.parts[host]
        part.free -= 1
        part.hands[name] += 1
        part.wishes[wish] += 1
        self.paces[name].took(now)
        self.hands[task] = InFlightRollout(name, host, wish, now, now + self.campaigns[name].need)

    def ended(self, now, task, free=True):
        """An answer, which proves that its lane is free again, or its time is over. `free` False: it was
        full."""
        hand = self.hands.pop(task, None)
        if hand is None:
            return
        part = self.parts[hand.host]
        part.hands[hand.campaign] -= 1
        if not part.hands[hand.campaign]:
            del part.hands[hand.campaign]
        part.wishes[hand.wish] -= 1
        part.free = part.free + 1 if free else 0


def pool(host):
    return f"rollouts/{host}"
