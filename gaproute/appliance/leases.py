"""The leases of one gateway: its node of the Raft group, and lease requests at the operators' address.

This module connects the parts and makes no decisions.
"""

import secrets
import time
from functools import partial

from gaproute.appliance.json_object import JsonObject
from gaproute.config.directives.fleet import RaftGroupLine
from gaproute.http1 import Request, Server
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.peers.raft import HostedNode, NodeEnvironment, NodeStorage, RaftGroupView, RaftTransport
from gaproute.shared.leases import LeaseTable
from gaproute.shared.leases.operator_requests import (
    OperatorCommand,
    OperatorRequests,
    PoolStatus,
    RequestStatus,
)
from gaproute.shared.randomness import RandomSource
from gaproute.storage.files import TRANSIENT_ERRNOS
from gaproute.storage.raft_log_file import RaftLogFile
from gaproute.telemetry.record import GatewayRecord
from gaproute.units import MILLI

# Each run draws the first number of its requests from this range; all numbers stay below JSON's 2^53.
RUN_BITS = 40
REQUEST_BITS = 12


class LeaseService:
    """A gateway's lease client, and its node of the Raft group if `line` names the gateway as a member.

    `line`: the configuration's line `keepers`. Errors: OSError where the Raft log file cannot be opened. A
    disk that fails for a while raises none: the node does nothing until the disk works.
    """

    def __init__(
        self, loop: Loop, name: str, line: RaftGroupLine, record: GatewayRecord, chance: RandomSource
    ) -> None:
        self.loop = loop
        self.peers: dict[str, str] = {}  # addresses by name
        self.disk: RaftLogFile | None = None
        if name in line.names and line.votes is not None:
            self.disk = self._open_raft_log(line.votes, record)
        self.hosted_node = HostedNode(
            NodeEnvironment(loop, record, chance, partial(RaftTransport, loop, name, self.peers)),
            RaftGroupView(name, line.names),
            NodeStorage(LeaseTable(max_duration=line.longest), self.disk, time.time_ns() // MILLI),
        )
        last_number = secrets.randbits(RUN_BITS) << REQUEST_BITS
        self.requests = OperatorRequests(self.hosted_node.client, line.longest, last_number)
        self.timer: Timer | None = None

    @staticmethod
    def _open_raft_log(path: str, record: GatewayRecord) -> RaftLogFile:
        log_file = RaftLogFile(
            path, lambda text: record.event("warning", "raft_log_file_fault", message=text)
        )
        try:
            log_file.open()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            # The node opens the file at its first read, which it repeats (`STORAGE_RETRY_INTERVAL`)
        return log_file

    def update_peers(self, peers: dict[str, str]) -> None:
        """Takes over the addresses, by name, of all gateways that may request leases."""
        for name in [name for name in self.peers if name not in peers]:
            del self.peers[name]
        self.peers.update(peers)

    def handle(self, server: Server, request: Request) -> None:
        """Handles a batch of messages from another gateway."""
        self.hosted_node.transport.handle(server, request)

    def execute(self, command: OperatorCommand) -> RequestStatus | PoolStatus:
        """Carries out an operator's command. Errors: `LeaseRequestError`."""
        status = self.requests.execute(self.loop.now(), command)
        self._run_due()
        return status

    def table(self) -> JsonObject:
        """The lease table at the operators' address; its JSON keys are older than the names in the code."""
        return {"errands": self.requests.all_statuses(self.loop.now()), **self.hosted_node.status()}

    def _run_due(self) -> None:
        self.requests.tick(self.loop.now())
        self.hosted_node.run_due()
        if self.timer is not None:
            self.timer.cancel()
        due = self.requests.due
        self.timer = (
            None if due is None else self.loop.call_at(max(due, self.loop.now() + MILLI), self._run_due)
        )

    def stop(self) -> None:
        """Releases all leases; call `close` afterwards."""
        self.hosted_node.stop()

    def close(self) -> None:
        """Closes the timer, the sockets and the disk."""
        if self.timer is not None:
            self.timer.cancel()
        self.hosted_node.close()
        if self.disk is not None:
            self.disk.close()
