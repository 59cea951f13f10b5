"""A gateway of the simulated campaigns: its holder, its spending, its versions and groups, and production's
tasks."""

from collections import deque

from gaproute.rollouts.copy_exchange import exchange
from gaproute.rollouts.dispatcher import ASK, RolloutDispatcher
from gaproute.rollouts.groups import RolloutGroups
from gaproute.rollouts.invariants import check_sent
from gaproute.rollouts.load_limiter import RolloutLoadLimiter
from gaproute.rollouts.plan_distribution import PlanFilter
from gaproute.rollouts.weight_versions import WeightVersions
from gaproute.shared.gossip import GossipMessage, GossipNode
from gaproute.shared.leases import LeaseClient
from gaproute.simulation.campaigns.planner import Planner

MILLI, SECOND = 1_000_000, 1_000_000_000

TELL = 500 * MILLI  # between two tellings of versions to all
STEP = 100 * MILLI  # between two looks at copies
GIVEN = 1500 * MILLI  # until a production task or a load without an answer counts as lost
EXCHANGE = "rollouts/exchange"


class SimulatedGateway:
    def __init__(self, play, name, disk, chance, now):
        self.play, self.name, self.chance = play, name, chance
        self.campaigns = play.campaigns
        self.holder = LeaseClient(name, play.keepers, chance, now)
        self.spend = RolloutDispatcher(self.holder, self.campaigns, now)
        self.weights = WeightVersions(self.campaigns)
        self.groups = RolloutGroups(self.weights)
        self.loads = RolloutLoadLimiter(None, play.ration, 2 * SECOND)
        self.latest, self.planner = PlanFilter(), Planner(self, now)
        self.gossip = GossipNode(name, 1 + play.number(), chance, now)
        self.peers = [other for other in play.gateways if other != name]
        self.gossip.set_peers(now, self.peers)
        self.asks, self.known = {}, {}  # number: (host, when); host: its last room
        self.heard = {}  # peer: when
        self.queues = {campaign: deque() for campaign in self.campaigns}  # (group, task, version)
        self.tasks, self.mine = {}, {}  # rollouts: (campaign, group, version); production: when
        self.under = {}  # loads under way: host: (copy, wish, when)
        self.planned = {}  # campaign: hosts
        self.ask_at = self.tell_at = self.step_at = now
        self.wanted = {}  # host: wants told

    @property
    def due(self):
        return min(self.ask_at, self.gossip.due, *([self.holder.due] if self.holder.due is not None else []))

    def tick(self, now):
        out = self.holder.tick(now) + self.gossip.tick(now)
        if now >= self.ask_at:
            self.ask_at = now + ASK
            for number in [number for number, (_, when) in self.asks.items() if now - when > SECOND]:
                del self.asks[number]
            hosts = dict.fromkeys(self.spend.asking(now))
            hosts.update(dict.fromkeys(self.planner.asking(now)))
            for host in hosts:
                number = self.play.number()
                self.asks[number] = host, now
                out.append((host, ("ask", number)))
            self.spend.tick(now)
            for task in [task for task in self.tasks if task not in self.spend.hands]:
                self.back(task)  # its time is over: its host has ended it
        if now >= self.tell_at:
            self.tell_at = now + TELL
            out += [(peer, ("weights", dict(self.weights.now))) for peer in self.peers]
        if now >= self.step_at:
            self.step_at = now + STEP
            out += self.aged(now) + self.exchanged(now)
            for task in [task for task, (_, when) in self.mine.items() if now - when > GIVEN]:
                self.given(now, task)
        out += self.planner.tick(now)
        return out + self.fill(now)

    def hear(self, now, sender, message):
        if isinstance(message, GossipMessage):
            self.heard[sender] = now
            self.gossip.receive(now, sender, message)
            return []
        if not isinstance(message, tuple):
            return self.holder.hear(now, sender, message)
        kind, *told = message
        out = getattr(self, "_" + kind)(now, sender, *told) or []
        return out + self.fill(now)

    def _room(self, now, host, name, number, free, want, lacking, cold, copies, loading, room):
        asked = self.asks.pop(number, None)
        if asked is None:
            return []
        self.known[host] = asked[1], copies, loading, room
        self.spend.report(now, host, asked[1], free, want, cold)
        self.gossip.record_available_capacity(host, free)
        out = [(host, ("cancel", task)) for task in self.spend.cancels(host, lacking)]
        if not want:
            self.wanted.pop(host, None)
            return out
        if host not in self.wanted:
            self.wanted[host] = now
            out += [(peer, ("want", host)) for peer in self.peers]
        return out

    def _want(self, now, sender, host):
        self.spend.wanted(now, host)

    def _weights(self, now, sender, versions):
        for name, version in versions.items():
            self.weights.moved(name, version)
        self.heard[sender] = now

    def moved(self, now, name, version):
        """The trainer's word to this gateway; the others hear it from here."""
        self.weights.moved(name, version)
        self.tell_at = 0
        return []

    def _orders(self, now, sender, orders):
        if self.latest.news(orders):
            self.planned = orders.copies
            self.spend.aim(now, orders.aims, orders.paces)

    def _loaded(self, now, host, name, copy):
        held = self.under.pop(host, None)
        if held is not None:
            self.loads.ended(now, copy is not None)
            if held[1] is not None:
                self.holder.release(now, held[1])

    def _ended(self, now, host, name, task, how, version):
        if task in self.mine:
            self.given(now, task)
            return
        self.spend.ended(now, task, how != "full")
        if how == "miss" and task in self.tasks and host in self.known:
            asked, copies, *rest = self.known[host]
            self.known[host] = asked, copies - {(self.tasks[task][0], self.tasks[task][2])}, *rest
        if how == "done" and task in self.tasks:
            campaign, group, named = self.tasks.pop(task)
            if self.groups.answered(group, task, version) == "delivered":
                self.play.delivered(self, campaign, group)
        else:
            self.back(task)

    def back(self, task):
        """It never ran, or was cancelled: it may go again while its group stands."""
        told = self.tasks.pop(task, None)
        if told is not None and told[1] in self.groups.open:
            self.queues[told[0]].appendleft((told[1], task, told[2]))

    # Rollouts

    def aged(self, now):
        """What became too old is declined by name, and what runs of it is cancelled."""
        out = []
        for _, tasks in self.groups.aged():
            out += [
                (self.spend.hands[task].host, ("cancel", task)) for task in tasks if task in self.spend.hands
            ]
        for queue in self.queues.values():
            for entry in [entry for entry in queue if entry[0] not in self.groups.open]:
                queue.remove(entry)
        return out

    def supply(self, campaign):
        version, queue = self.weights.now[campaign], self.queues[campaign]
        if sum(entry[2] == version for entry in queue) < self.campaigns[campaign].group:
            group, size = f"{self.name}/{self.play.number()}", self.campaigns[campaign].group
            for number in range(size):
                task = f"{group}/{number}"
                if not self.groups.take(group, task, campaign, version, size):
                    queue.append((group, task, version))

    def fill(self, now):
        out = []
        for host in list(self.spend.parts):
            for campaign in list(self.spend.parts[host].aims):
                while (wish := self.spend.may(now, campaign, host)) is not None:
                    self.supply(campaign)
                    copies = self.known[host][1]
                    queue = self.queues[campaign]
                    entry = next((entry for entry in queue if (campaign, entry[2]) in copies), None)
                    if entry is None:
                        break
                    queue.remove(entry)
                    group, task, version = entry
                    if self.weights.why_not(campaign, version):
                        continue  # its group is scrapped at the next look
                    self.play.found(check_sent(self.spend, now, campaign, host))
                    self.spend.sent(now, task, campaign, host, wish)
                    self.tasks[task] = campaign, group, version
                    lasts = self.play.lasts(self.chance)
                    out.append(
                        (
                            host,
                            (
                                "task",
                                task,
                                campaign,
                                version,
                                lasts,
                                self.campaigns[campaign].most,
                                self.play.world.now,
                            ),
                        )
                    )
        return out

    def exchanged(self, now):
        out = []
        for host in [host for host, (_, _, when) in self.under.items() if now - when > 20 * SECOND]:
            self._loaded(now, host, host, None)
        for name, hosts in self.planned.items():
            mine = [
                host
                for host in hosts
                if host in self.spend.parts and host in self.known and now - self.known[host][0] < SECOND
            ]
            copies = {
                host: [version for campaign, version in sorted(self.known[host][1]) if campaign == name]
                for host in mine
            }
            free = {host: self.known[host][3] for host in mine}
            loading = [
                host
                for host in mine
                if host in self.under or any(campaign == name for campaign, _ in self.known[host][2])
            ]
            wanted = self.weights.wanted(name)
            for kind, host, version in exchange(name, 1, wanted, mine, copies, loading, free):
                if kind == "drop":
                    out.append((host, ("drop", (name, version))))
                elif host not in self.under and self.loads.may(now):
                    wish = self.holder.acquire(now, EXCHANGE, 10 * SECOND) if kind == "swap" else None
                    self.under[host] = (name, version), wish, now
                    self.loads.ordered()
        for host, (copy, wish, _) in list(self.under.items()):
            if wish is not None and wish.state not in ("asked", "held"):
                self._loaded(now, host, host, None)
            elif wish is None or wish.valid_at(now):
                known = self.known.get(host)
                if known and copy in known[1]:
                    self._loaded(now, host, host, copy)
                elif known and known[3] < 1 and copy not in known[2]:
                    old = min((each for each in known[1] if each[0] == copy[0]), default=None)
                    out += [(host, ("drop", old))] if old else []
                elif known and copy not in known[2]:
                    out.append((host, ("load", copy)))
        return out

    # Production

    def produce(self, now):
        """A task of production comes: to the one of two hosts with fewer of the own. It does not look at
        campaigns, so that the same production is played with and without them."""
        self.gossip.record_arrival(now, "p", 0)
        hosts = self.play.up()
        chance = self.play.production  # the same with and without campaigns
        one, other = chance.of(hosts), chance.of(hosts)
        if self._hands(other) < self._hands(one):
            one = other
        task = f"p{self.play.number()}"
        self.mine[task] = one, now
        return [(one, ("task", task, "", None, self.play.takes(chance), GIVEN, self.play.world.now))]

    def _hands(self, host):
        return sum(each == host for each, _ in self.mine.values())

    def given(self, now, task):
        self.mine.pop(task, None)
