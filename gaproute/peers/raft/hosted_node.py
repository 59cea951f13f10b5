"""A gateway's seat among keepers and holders: clock, sockets and log lines around the decisions, no
choice."""

from gaproute.peers.raft.carrier import Carrier
from gaproute.shared.leases import LeaseClient
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.invariants import replay
from gaproute.shared.raft.messages import Reply
from gaproute.shared.raft.role import Role

MILLI = 1_000_000

SAY = 60_000 * MILLI  # between log lines of what was refused, so that a flood is no flood of lines
SLOW = 50 * MILLI  # a turn of the keeper above it is told: its disk holds up the gateway's tasks


class HostedNode:
    """`keepers`: names; `peers`: {name: address} of all gateways that may ask; `record.event(level, what,
    ...)`. With a `disk` (an opened `storage.RaftLogFile`) and its own name among the keepers it keeps as
    well. `carrier`: makes what carries the messages; a simulation hands in its own."""

    def __init__(
        self, loop, name, keepers, peers, record, chance, disk=None, base=0, machine=None, carrier=Carrier
    ):
        self.loop, self.name, self.record = loop, name, record
        self.carrier = carrier(loop, name, peers, self.take)
        self.holder = LeaseClient(name, keepers, chance, loop.now())
        self.node = None
        if disk is not None and name in keepers:
            self.node = RaftNode(name, keepers, disk, chance, loop.now(), machine, fencing_base=base)
            if self.node.store.discard_reason:
                record.event("error", "keeper's memory set aside", why=self.node.store.discard_reason)
        self.seen = {}
        self.told = loop.now()
        self.breaches = 0
        self.timer = None
        self.arm()

    def set_configured_members(self, keepers):
        """The configuration names these keepers now."""
        self.holder.set_configured_members(self.loop.now(), keepers)
        if self.node is not None:
            self.node.set_configured_members(self.loop.now(), keepers)
        self.act()

    def take(self, sender, message):
        """One that came from a peer, or from here."""
        part = self.holder if isinstance(message, Reply) else self.node
        if part is None:
            self.carrier.counts["refused: no keeper here"] += 1
            return
        begun = self.loop.now()
        self.send(part.hear(begun, sender, message))
        self.note(begun)

    def act(self):
        """What is due now, of both sides; to be called after every call on the holder."""
        begun = self.loop.now()
        for part in (self.holder, self.node):
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
        dues = [part.due for part in (self.holder, self.node) if part is not None and part.due is not None]
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(min(dues), self.act) if dues else None

    def note(self, begun):
        """Log lines for what an operator wants to know, each change once."""
        self.arm()
        node, now = self.node, self.loop.now()
        if node is None:
            return
        if now - begun > SLOW:
            self.record.event("warning", "keeper slow", ms=(now - begun) // MILLI)
        told = {
            "keeper": node.role.value if node.role in (Role.LEADER, Role.FOLLOWER) else None,
            "keeper silent": node.storage_failure,
            "members": [member.name for member in node.members],
        }
        for what, value in told.items():
            if value is not None and self.seen.get(what) != value:
                self.seen[what] = value
                if value:
                    self.record.event(
                        "error" if what == "keeper silent" else "info",
                        what,
                        now=value,
                        term=node.term,
                        leader=node.leader,
                    )
        for breach in node.breaches[self.breaches :]:
            self.record.event("error", "breach", text=breach, replay=replay(node))
        self.breaches = len(node.breaches)
        refused = {
            **node.rejections,
            **{what: count for what, count in self.carrier.counts.items() if what.startswith("refused")},
        }
        if now - self.told >= SAY:
            self.told = now
            if refused != self.seen.get("refused", {}):
                self.seen["refused"] = refused
                self.record.event("warning", "keeper refused", **{"by_reason": refused})

    def table(self):
        """For the operators' address."""
        node = self.node
        return {
            "holds": [
                {
                    "resource": wish.resource,
                    "state": wish.state,
                    "fence": wish.fencing_token,
                    "ms_left": None
                    if wish.expires_at is None
                    else (wish.expires_at - self.loop.now()) // MILLI,
                }
                for wish in self.holder.requests
            ],
            "carried": dict(self.carrier.counts),
            "keeper": node
            and {
                "role": node.role.value,
                "term": node.term,
                "leader": node.leader,
                "agreed": node.commit_index,
                "members": [each.name for each in node.members],
                "silent": node.storage_failure,
                "permits": len(node.machine.leases),
            },
        }

    def stop(self):
        """Gives all permits back; `close` ends it."""
        self.holder.release_all(self.loop.now())
        self.act()

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        self.carrier.close()
