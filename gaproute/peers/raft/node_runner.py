"""Runs a gateway's lease client and its node of the Raft group.

It supplies the clock, the transport and the event log; all decisions are made in `gaproute.shared`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from gaproute.loop.timers import Timer
from gaproute.peers.ports import CallbackLoop, EventLog, RaftMessageHandler, RaftMessageTransport
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.raft import Disk, RaftNode, Role
from gaproute.shared.raft.invariants import node_summary_json
from gaproute.shared.raft.messages import RaftMessage, Reply
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI

# Between two log events about rejected messages, so that a flood of messages does not flood the log.
REJECTION_LOG_INTERVAL = 60_000 * MILLI
# A longer turn of the node is logged, because its disk writes delay the gateway's requests.
SLOW_TURN_DURATION = 50 * MILLI
NO_NODE_COUNTER = "refused: no keeper here"  # messages for a Raft node at a gateway that has none

Transport = TypeVar("Transport", bound=RaftMessageTransport)


@dataclass(frozen=True, slots=True)
class NodeEnvironment(Generic[Transport]):
    """What a `RaftNodeRunner` runs on; simulations pass implementations of their own.

    `open_transport(receive)` creates the transport, which calls `receive` for each message that arrives.
    """

    loop: CallbackLoop
    record: EventLog
    random: RandomSource
    open_transport: Callable[[RaftMessageHandler], Transport]


@dataclass(frozen=True, slots=True)
class ConfiguredRaftGroup:
    """A Raft group in the configuration of one gateway, which is a member of it or only its client."""

    name: str  # name of this gateway
    members: tuple[str, ...]  # names of the members


@dataclass(frozen=True, slots=True)
class NodeStorage:
    """The state machine to which a node's log is applied, and the disk that stores the log.

    `disk` is open already; None at a gateway that stores no log. `fencing_base` is passed to `RaftNode`.
    """

    machine: LeaseTable
    disk: Disk | None = None
    fencing_base: int = 0


class RaftNodeRunner(Generic[Transport]):
    """Runs the `lease_client` and, if this gateway is a member and has a disk for the log, the `node`."""

    def __init__(
        self, environment: NodeEnvironment[Transport], group: ConfiguredRaftGroup, storage: NodeStorage
    ) -> None:
        self.loop, self.record = environment.loop, environment.record
        self.name, self.machine = group.name, storage.machine
        self.transport = environment.open_transport(self.receive)
        self.lease_client = LeaseClient(self.name, group.members, environment.random, self.loop.now())
        self.node = self._create_node(environment.random, group, storage)
        self.event_logger = NodeEventLogger(self.record, self.loop.now())
        self.timer: Timer | None = None
        self._reschedule_timer()

    def _create_node(
        self, random: RandomSource, group: ConfiguredRaftGroup, storage: NodeStorage
    ) -> RaftNode | None:
        if storage.disk is None or group.name not in group.members:
            return None
        node = RaftNode(
            group.name,
            group.members,
            storage.disk,
            random,
            self.loop.now(),
            storage.machine,
            fencing_base=storage.fencing_base,
        )
        if node.store.discard_reason:
            self.record.event("error", "raft_log_discarded", reason=node.store.discard_reason)
        return node

    def _client_and_node(self) -> list[LeaseClient | RaftNode]:
        return [self.lease_client] if self.node is None else [self.lease_client, self.node]

    def set_configured_members(self, members: Iterable[str]) -> None:
        """Replaces the configured names of the group's members."""
        members = tuple(members)
        for part in self._client_and_node():
            part.set_configured_members(self.loop.now(), members)
        self.run_due()

    def receive(self, sender: str, message: RaftMessage) -> None:
        """Passes a message from a peer or from this gateway to the lease client or the node."""
        part = self.lease_client if isinstance(message, Reply) else self.node
        if part is None:
            self.transport.counts[NO_NODE_COUNTER] += 1
            return
        started_at = self.loop.now()
        self._send(part.hear(started_at, sender, message))
        self._finish_turn(started_at)

    def run_due(self) -> None:
        """Runs what is due now; must be called after every call of a method of the lease client."""
        started_at = self.loop.now()
        for part in self._client_and_node():
            if part.due is not None and part.due <= started_at:
                self._send(part.tick(started_at))
        self._finish_turn(started_at)

    def _send(self, messages: Iterable[tuple[str, RaftMessage]]) -> None:
        for recipient, message in messages:
            if recipient == self.name:
                self.loop.call_soon(self.receive, recipient, message)
            else:
                self.transport.send(recipient, message)

    def _reschedule_timer(self) -> None:
        times = [part.due for part in self._client_and_node() if part.due is not None]
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(min(times), self.run_due) if times else None

    def _finish_turn(self, started_at: int) -> None:
        self._reschedule_timer()
        if self.node is not None:
            self.event_logger.log_turn(self.node, started_at, self.loop.now(), self.transport.counts)

    def status(self) -> dict[str, object]:
        """The status that the operators' HTTP address shows, under its JSON keys."""
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
                for request in self.lease_client.requests
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
        """Releases all leases; `close` must be called afterwards."""
        self.lease_client.release_all(self.loop.now())
        self.run_due()

    def close(self) -> None:
        """Cancels the timer and closes the transport."""
        if self.timer is not None:
            self.timer.cancel()
        self.transport.close()


class NodeEventLogger:
    """Logs the changes of a node that concern operators, each once."""

    def __init__(self, record: EventLog, now: int) -> None:
        self.record = record
        self.last_logged: dict[str, object] = {}  # last logged value, by its name
        self.logged_rejections: dict[str, int] = {}
        self.rejections_logged_at = now
        self.logged_violations = 0  # number of `RaftNode.violations` that are logged already

    def log_turn(self, node: RaftNode, started_at: int, now: int, counts: Mapping[str, int]) -> None:
        """Logs what changed in a turn of the node; `counts` are those of the transport."""
        if now - started_at > SLOW_TURN_DURATION:
            self.record.event("warning", "raft_turn_slow", took_ms=(now - started_at) // MILLI)
        self._log_changes(node)
        for violation in node.violations[self.logged_violations :]:
            self.record.event(
                "error", "raft_invariant_violated", violation=violation, replay=node_summary_json(node)
            )
        self.logged_violations = len(node.violations)
        if now - self.rejections_logged_at >= REJECTION_LOG_INTERVAL:
            self.rejections_logged_at = now
            rejected = {what: count for what, count in counts.items() if what.startswith("refused")}
            self._log_rejections({**node.rejections, **rejected})

    def _log_changes(self, node: RaftNode) -> None:
        """Logs the role, a storage failure and the members, each if it has changed."""
        role, failure = node.role.value, node.storage_failure
        members = [member.name for member in node.members]
        if node.role in (Role.LEADER, Role.FOLLOWER) and self._replace_logged_value("role", role):
            self.record.event("info", "raft_role_changed", role=role, term=node.term, leader=node.leader)
        if self._replace_logged_value("failure", failure):
            self.record.event(
                "error", "raft_storage_failed", error=failure, term=node.term, leader=node.leader
            )
        if self._replace_logged_value("members", members):
            self.record.event(
                "info", "raft_members_changed", members=members, term=node.term, leader=node.leader
            )

    def _replace_logged_value(self, name: str, value: object) -> bool:
        """Stores the value; returns whether it is not empty and differs from the previous one."""
        changed = self.last_logged.get(name) != value
        self.last_logged[name] = value
        return changed and bool(value)

    def _log_rejections(self, by_reason: dict[str, int]) -> None:
        if by_reason != self.logged_rejections:
            self.logged_rejections = by_reason
            self.record.event("warning", "raft_messages_rejected", by_reason=by_reason)
