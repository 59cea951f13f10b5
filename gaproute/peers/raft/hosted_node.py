"""A gateway's seat among keepers and holders: clock, sockets and log lines around the decisions, no
choice."""

from gaproute.peers.raft.carrier import Carrier
from gaproute.shared.leases import Holder
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.invariants import replay
from gaproute.shared.raft.messages import Reply
from gaproute.shared.raft.role import Role

MILLI = 1_000_000

SAY = 60_000 * MILLI  # between log lines of what was refused, so that a flood is no flood of lines
SLOW = 50 * MILLI  # a turn of the keeper above it is told: its disk holds up the gateway's tasks


class HostedNode:
    """`keepers`: names; `peers`: {name: address} of all gateways that may ask; `record.event(level, what,
    ...)`. With a `disk` (an opened `ledger.votes.Votes`) and its own name among the keepers it keeps as
    well. `carrier`: makes what carries the messages; a simulation hands in its own."""

    def __init__(
        self, loop, name, keepers, peers, record, chance, disk=None, base=0, machine=None, carrier=Carrier
    ):
        self.loop, self.name, self.record = loop, name, record
        self.carrier = carrier(loop, name, peers, self.take)
        self.holder = Holder(name, keepers, chance, loop.now())
        self.keeper = None
        if disk is not None and name in keepers:
            self.keeper = RaftNode(name, keepers, disk, chance, loop.now(), machine, base)
            if self.keeper.store.lost:
                record.event("error", "keeper's memory set aside", why=self.keeper.store.lost)
        self.seen = {}
        self.told = loop.now()
        self.breaches = 0
        self.timer = None
        self.arm()

    def named(self, keepers):
        """The configuration names these keepers now."""
        self.holder.named(self.loop.now(), keepers)
        if self.keeper is not None:
            self.keeper.named(self.loop.now(), keepers)
        self.act()

    def take(self, sender, message):
        """One that came from a peer, or from here."""
        part = self.holder if isinstance(message, Reply) else self.keeper
        if part is None:
            self.carrier.counts["refused: no keeper here"] += 1
            return
        begun = self.loop.now()
        self.send(part.hear(begun, sender, message))
        self.note(begun)

    def act(self):
        """What is due now, of both sides; to be called after every call on the holder."""
        begun = self.loop.now()
        for part in (self.holder, self.keeper):
            if part is not None and part.due is not None and part.due <= begun:
                self.send(part.tick(begun))
        self.note(begun)

    def send(self, told):
        for to, message in told:
            if to == self.name:
                self.loop.soon(self.take, to, message)
            else:
                self.carrier.send(to, message)

    def arm(self):
        dues = [part.due for part in (self.holder, self.keeper) if part is not None and part.due is not None]
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(min(dues), self.act) if dues else None

    def note(self, begun):
        """Log lines for what an operator wants to know, each change once."""
        self.arm()
        keeper, now = self.keeper, self.loop.now()
        if keeper is None:
            return
        if now - begun > SLOW:
            self.record.event("warning", "keeper slow", ms=(now - begun) // MILLI)
        told = {
            "keeper": keeper.role.value if keeper.role in (Role.LEADER, Role.FOLLOWER) else None,
            "keeper silent": keeper.mute,
            "members": [member.name for member in keeper.members],
        }
        for what, value in told.items():
            if value is not None and self.seen.get(what) != value:
                self.seen[what] = value
                if value:
                    self.record.event(
                        "error" if what == "keeper silent" else "info",
                        what,
                        now=value,
                        term=keeper.term,
                        leader=keeper.leader,
                    )
        for breach in keeper.breaches[self.breaches :]:
            self.record.event("error", "breach", text=breach, replay=replay(keeper))
        self.breaches = len(keeper.breaches)
        refused = {
            **keeper.refused,
            **{what: count for what, count in self.carrier.counts.items() if what.startswith("refused")},
        }
        if now - self.told >= SAY:
            self.told = now
            if refused != self.seen.get("refused", {}):
                self.seen["refused"] = refused
                self.record.event("warning", "keeper refused", **{"by_reason": refused})

    def table(self):
        """For the operators' address."""
        keeper = self.keeper
        return {
            "holds": [
                {
                    "resource": wish.resource,
                    "state": wish.state,
                    "fence": wish.fence,
                    "ms_left": None if wish.end is None else (wish.end - self.loop.now()) // MILLI,
                }
                for wish in self.holder.wishes
            ],
            "carried": dict(self.carrier.counts),
            "keeper": keeper
            and {
                "role": keeper.role.value,
                "term": keeper.term,
                "leader": keeper.leader,
                "agreed": keeper.commit,
                "members": [each.name for each in keeper.members],
                "silent": keeper.mute,
                "permits": len(keeper.machine.permits),
            },
        }

    def stop(self):
        """Gives all permits back; `close` ends it."""
        self.holder.leave(self.loop.now())
        self.act()

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        self.carrier.close()
