"""Runs a gateway's lease client and its node of the Raft group: clock, transport and log lines, no
decisions.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

from gaproute.loop.timers import Timer
from gaproute.peers.ports import CallbackLoop, EventLog, RaftMessageHandler, RaftMessageTransport
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.raft import Disk, RaftNode, Role
from gaproute.shared.raft.invariants import replay
from gaproute.shared.raft.messages import RaftMessage, Reply
from gaproute.shared.randomness import RandomSource

MILLI = 1_000_000

# Between log lines about rejected messages, so that a flood of them is not a flood of lines
REJECTIONS_INTERVAL = 60_000 * MILLI
SLOW_TURN = 50 * MILLI  # duration of a turn of the node above which its disk delays the gateway's requests
NO_NODE = "refused: no keeper here"

Transport = TypeVar("Transport", bound=RaftMessageTransport)


class HostedNode(Generic[Transport]):
    """Runs the lease client `client` and, if there is a disk and `name` is a member, the `node`.

    `members`: the configured names; `open_transport(receive)`: makes the transport, which calls `receive` for
    each message; `disk`: opened; `machine`: the node's; `fencing_base`: as of `RaftNode`.
    """

    def __init__(
        self,
        loop: CallbackLoop,
        name: str,
        members: Iterable[str],
        record: EventLog,
        chance: RandomSource,
        *,
        open_transport: Callable[[RaftMessageHandler], Transport],
        machine: LeaseTable,
        disk: Disk | None = None,
        fencing_base: int = 0,
    ) -> None:
        self.loop, self.name, self.record, self.machine = loop, name, record, machine
        members = tuple(members)
        self.transport = open_transport(self.receive)
        self.client = LeaseClient(name, members, chance, loop.now())
        self.node: RaftNode | None = None
        if disk is not None and name in members:
            self.node = RaftNode(name, members, disk, chance, loop.now(), machine, fencing_base=fencing_base)
            if self.node.store.discard_reason:
                record.event("error", "raft_log_discarded", reason=self.node.store.discard_reason)
        self.log = NodeLog(record, loop.now())
        self.timer: Timer | None = None
        self._schedule()

    def _parts(self) -> list[LeaseClient | RaftNode]:
        return [self.client] if self.node is None else [self.client, self.node]

    def set_configured_members(self, members: Iterable[str]) -> None:
        """Takes over the names of the members in the configuration."""
        members = tuple(members)
        for part in self._parts():
            part.set_configured_members(self.loop.now(), members)
        self.run_due()

    def receive(self, sender: str, message: RaftMessage) -> None:
        """Handles a message from a peer, or from this gateway."""
        part = self.client if isinstance(message, Reply) else self.node
        if part is None:
            self.transport.counts[NO_NODE] += 1
            return
        begun = self.loop.now()
        self._send(part.hear(begun, sender, message))
        self._after_turn(begun)

    def run_due(self) -> None:
        """Runs what is due now; is called after every call of the client."""
        begun = self.loop.now()
        for part in self._parts():
            if part.due is not None and part.due <= begun:
                self._send(part.tick(begun))
        self._after_turn(begun)

    def _send(self, messages: Iterable[tuple[str, RaftMessage]]) -> None:
        for to, message in messages:
            if to == self.name:
                self.loop.soon(self.receive, to, message)
            else:
                self.transport.send(to, message)

    def _schedule(self) -> None:
        times = [part.due for part in self._parts() if part.due is not None]
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(min(times), self.run_due) if times else None

    def _after_turn(self, begun: int) -> None:
        self._schedule()
        if self.node is not None:
            self.log.turn(self.node, begun, self.loop.now(), self.transport.counts)

    def status(self) -> dict[str, object]:
        """The status at the operators' address, with its JSON keys."""
        return {
            "holds": [
                {
                    "resource": request.resource,
                    "state": request.state,
                    "fence": request.fencing_token,
                    "ms_left": None
                    if request.expires_at is None
                    else (request.expires_at - self.loop.now()) // MILLI,
                }
                for request in self.client.requests
            ],
            "carried": dict(self.transport.counts),
            "keeper": None if self.node is None else self._node_status(self.node),
        }

    def _node_status(self, node: RaftNode) -> dict[str, object]:
        return {
            "role": node.role.value,
            "term": node.term,
            "leader": node.leader,
            "agreed": node.commit_index,
            "members": [member.name for member in node.members],
            "silent": node.storage_failure,
            "permits": len(self.machine.leases),
        }

    def stop(self) -> None:
        """Releases all leases; call `close` afterwards."""
        self.client.release_all(self.loop.now())
        self.run_due()

    def close(self) -> None:
        """Ends sending and receiving."""
        if self.timer is not None:
            self.timer.cancel()
        self.transport.close()


class NodeLog:
    """Logs changes of a node that an operator should know, each once."""

    def __init__(self, record: EventLog, now: int) -> None:
        self.record = record
        self.logged: dict[str, object] = {}  # by name of the figure: the last logged value
        self.rejections: dict[str, int] = {}
        self.rejections_logged_at = now
        self.breaches = 0  # how many were logged so far

    def turn(self, node: RaftNode, begun: int, now: int, counts: Mapping[str, int]) -> None:
        """Logs after a turn of the node from `begun` to `now`; `counts`: those of the transport."""
        if now - begun > SLOW_TURN:
            self.record.event("warning", "raft_turn_slow", took_ms=(now - begun) // MILLI)
        self._log_changes(node)
        for breach in node.breaches[self.breaches :]:
            self.record.event("error", "raft_invariant_violated", violation=breach, replay=replay(node))
        self.breaches = len(node.breaches)
        if now - self.rejections_logged_at >= REJECTIONS_INTERVAL:
            self.rejections_logged_at = now
            refused = {what: count for what, count in counts.items() if what.startswith("refused")}
            self._log_rejections({**node.rejections, **refused})

    def _log_changes(self, node: RaftNode) -> None:
        """Logs the role, failures of the disk, and the members, each if it has changed."""
        role, failure = node.role.value, node.storage_failure
        members = [member.name for member in node.members]
        if node.role in (Role.LEADER, Role.FOLLOWER) and self._has_changed("role", role):
            self.record.event("info", "raft_role_changed", role=role, term=node.term, leader=node.leader)
        if self._has_changed("failure", failure):
            self.record.event(
                "error", "raft_storage_failed", error=failure, term=node.term, leader=node.leader
            )
        if self._has_changed("members", members):
            self.record.event(
                "info", "raft_members_changed", members=members, term=node.term, leader=node.leader
            )

    def _has_changed(self, what: str, value: object) -> bool:
        """Whether a value is not empty and differs from that of the last call."""
        changed = self.logged.get(what) != value
        self.logged[what] = value
        return changed and bool(value)

    def _log_rejections(self, by_reason: dict[str, int]) -> None:
        if by_reason != self.rejections:
            self.rejections = by_reason
            self.record.event("warning", "raft_messages_rejected", by_reason=by_reason)
