"""The part of a simulated gateway that plans, while it holds the planner's permit."""

from gaproute.rollouts.dispatcher import pool
from gaproute.rollouts.forecast import FleetForecast
from gaproute.rollouts.host_assignment import deal, paces
from gaproute.rollouts.plan import CampaignDemand, PlanningProblem, greedy
from gaproute.rollouts.plan_distribution import PLANNER, GatewayPlan

MILLI, SECOND = 1_000_000, 1_000_000_000

EVERY = SECOND  # between plans
ASKS = 250 * MILLI  # between two askings of all hosts
LOST = 1500 * MILLI  # a host or gateway not heard for so long gets nothing
SPAN = 4 * SECOND  # of the planner's permit


class Planner:
    def __init__(self, gateway, now):
        self.gateway, self.wish = gateway, None
        self.again = now + gateway.chance.below(EVERY)
        self.asked = self.planned = now
        self.number, self.owners, self.forecast, self.sized = 0, {}, FleetForecast(), {}
        self.made = 0

    def plans(self, now):
        return self.wish is not None and self.wish.valid_at(now)

    def asking(self, now):
        if not self.plans(now) or now < self.asked:
            return ()
        self.asked = now + ASKS
        return list(self.gateway.play.hosts)

    def tick(self, now):
        gateway = self.gateway
        if self.wish is None or self.wish.state not in ("asked", "held"):
            if now >= self.again:
                self.again = now + EVERY // 2 + gateway.chance.below(EVERY)
                self.wish, self.owners, self.sized = gateway.holder.acquire(now, PLANNER, SPAN), {}, {}
                self.planned = now + EVERY // 2
        if not self.plans(now) or now < self.planned:
            return []
        self.planned = now + EVERY
        return self.plan(now)

    def plan(self, now):
        gateway, play = self.gateway, self.gateway.play
        known = {host: known for host, known in gateway.known.items() if now - known[0] < LOST}
        hosts = [play.hosts[host] for host in play.hosts if host in known]
        for host in play.hosts:
            if self.sized.get(host) != play.lent[host]:
                self.sized[host] = play.lent[host]
                gateway.holder.resize_pool(now, pool(host), play.lent[host])
        if "" not in self.sized:
            self.sized[""] = max(2, len(play.hosts) // 3)
            gateway.holder.resize_pool(now, "rollouts/exchange", self.sized[""])
        if not hosts:
            return []
        self.forecast.read(now, {"p": (gateway.gossip.demand(now, "p", 0).total, 0.0, play.mean / SECOND)})
        spare = self.forecast.spare(now, hosts, play.lent, 4)
        stand = sorted({(name, host) for host, told in known.items() for name, _ in told[1] | told[2]})
        # Of a host's room a campaign's old and new copy stand together while they are exchanged.
        problem = PlanningProblem(
            spare,
            {host.name: host.room // 2 for host in hosts},
            [
                CampaignDemand(name, 1, campaign.weight, 10_000)
                for name, campaign in gateway.campaigns.items()
            ],
            stand,
            max(2, len(hosts) // 2),
        )
        plan = greedy(problem)
        self.made += 1
        lanes = {(name, host): max(given) for name, host, given in plan.lanes}
        alive = sorted(
            [peer for peer in gateway.peers if now - gateway.heard.get(peer, -LOST) < LOST] + [gateway.name]
        )
        came, self.owners = deal(lanes, play.lent, alive, self.owners, play.zones)
        copies, order = {}, sorted(plan.copies, key=lambda copy: copy[2])
        for name, host, _ in order:
            copies.setdefault(name, []).append(host)
        given, out = paces(came, gateway.campaigns), []
        self.number += 1
        for name in alive:
            orders = GatewayPlan(self.wish.fencing_token, self.number, came[name], given[name], copies)
            if name == gateway.name:
                gateway._orders(now, name, orders)
            else:
                out.append((name, ("orders", orders)))
        return out
