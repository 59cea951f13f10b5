"""A simulated fleet with what the fault scenarios look at: who is held dead, bytes, leases, invariants."""

from gaproute.hollow import PARTS
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.shared.membership import MemberState
from gaproute.shared.membership.invariants import check

SECOND = 1_000_000_000
CHEAP = {name: PARTS[name] for name in ("membership", "hosts", "leases")}  # for long plays: gossip of demand
#                                                        is nine tenths of all events
HOSTS = 240
FIRST = 10  # seconds of a healing whose bytes are counted
LONGEST = 400  # simulated seconds until which a healing is waited for


class Watched:
    """`told`: as of `SimulatedFleet`. `COUNTED`: counters that each scenario tells the sums of."""

    COUNTED = ("membership.suspicions", "membership.refused", "demand.refused", "leases.ended")

    def __init__(self, size, seed, part_factories=PARTS, **told):
        self.size, self.fleet = (
            size,
            SimulatedFleet(size, seed=seed, part_factories=part_factories, hosts=HOSTS, **told),
        )

    def gateways(self):
        """Those whose costs and members are looked at, by name."""
        return self.fleet.gateways

    @property
    def now(self):
        """Simulated seconds."""
        return self.fleet.loop.time / SECOND

    def since(self, began, found):
        """Seconds since `began`, None where what was waited for did not come."""
        return None if found is None else round(self.now - began, 2)

    def members(self):
        """{name: the gateway's membership}"""
        return {name: gateway.parts["membership"].membership for name, gateway in self.gateways().items()}

    def healing(self, figures, **conditions):
        """Plays until all conditions hold. The seconds until each, and the first bytes, become figures."""
        before, waiting, began = self.sent(), dict(conditions), self.now
        while waiting or self.now - began < FIRST:
            if self.now - began >= LONGEST:
                figures.update(dict.fromkeys(waiting))
                return
            self.fleet.run(1)
            spent = round(self.now - began)
            if spent == FIRST:
                after = self.sent()
                sent = sum(after.values()) - sum(before.values())
                figures["healing_bytes_per_s"] = round(sent / FIRST / len(self.gateways()), 1)
                figures["healing_busiest_bytes_per_s"] = self.busiest(before, FIRST)
            for name in [name for name, holds in waiting.items() if holds()]:
                del waiting[name]
                figures[name] = spent

    # Bytes and state

    def sent(self):
        """{name: bytes sent by all parts}, of gateways that run; what has ended counts under its own name."""
        found = {"": sum(value for name, value in self.fleet.ended_totals.items() if name.endswith(".bytes"))}
        for name, gateway in self.gateways().items():
            found[name] = sum(counters.get("bytes", 0) for counters in gateway.counters().values())
        return found

    def bytes_per_second(self, span):
        """Plays the span; bytes that a gateway sent in a second of it."""
        before = sum(self.sent().values())
        self.fleet.run(span)
        return round((sum(self.sent().values()) - before) / span / len(self.gateways()), 1)

    def busiest(self, before, span):
        """Bytes a second of the gateway that sent most since `before`."""
        after = self.sent()
        return round(max(after[name] - before.get(name, 0) for name in after if name) / span, 1)

    def entries(self):
        """Entries of state that a gateway holds."""
        totals = self.fleet.totals(self.gateways().values())
        found = sum(value for name, value in totals.items() if name.endswith(".entries"))
        return round(found / len(self.gateways()), 1)

    def leases_held(self):
        """The share of the gateways that run whose lease stands."""
        gateways = self.fleet.gateways.values()
        return round(sum(gateway.parts["leases"].is_held for gateway in gateways) / len(gateways), 4)

    def all_leases(self):
        """Whether the lease of each gateway that runs stands."""
        return self.leases_held() == 1

    # Who is held what

    def all_dead(self, names):
        """Whether all that run hold all of these dead."""
        return all(
            members.members[name].state >= MemberState.DEAD
            for members in self.members().values()
            for name in names
        )

    def whole(self):
        """Whether all that run hold one another alive."""
        tables = self.members()
        return all(
            name == other or other in held.members and held.members[other].state == MemberState.ALIVE
            for name, held in tables.items()
            for other in tables
        )

    def wrongly_dead(self):
        """Pairs of running gateways of which one holds the other dead."""
        tables = self.members()
        return sum(
            other in held.members and held.members[other].state >= MemberState.DEAD
            for held in tables.values()
            for other in tables
        )

    # Hosts

    def hosts_are(self, hosts, state, files=None):
        """The list tells so from now on, in these files or in all."""
        for host in hosts:
            self.fleet.host_lists.states[host] = state
        self.fleet.host_lists.publish(files)

    def alike(self):
        """Whether all gateways hold the whole list."""
        wanted = sum(state != "gone" for state in self.fleet.host_lists.states.values())
        return all(len(gateway.parts["hosts"].rows) == wanted for gateway in self.fleet.gateways.values())

    def ended(self, figures):
        """The figures, with what any scenario counts; ends the fleet."""
        totals = self.fleet.totals()
        for name in self.COUNTED:
            figures.setdefault(name.replace(".", "_"), totals[name])
        figures["breaches"] = [
            breach for members in self.members().values() for breach in check(members, thorough=True)
        ]
        figures["simulated_s"] = round(self.now, 1)
        self.fleet.close()
        return figures
