"""The leases of one gateway: its node of the Raft group, and lease requests at the operators' address.

This module only connects the parts.
"""

import secrets
import time
from functools import partial

from gaproute.appliance.json_object import JsonObject
from gaproute.config.directives.fleet import RaftGroupLine
from gaproute.http1 import Request, Server
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.peers.raft import (
    ConfiguredRaftGroup,
    NodeEnvironment,
    NodeStorage,
    RaftNodeRunner,
    RaftTransport,
)
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

# Each run draws the high bits of its request numbers, so that two runs use different numbers. All numbers
# stay below 2^53, up to which JSON numbers are exact.
RUN_NUMBER_BITS = 40
REQUEST_NUMBER_BITS = 12


class LeaseService:
    """A gateway's lease client, and its node of the Raft group if `line` names the gateway as a member.

    `line`: the configuration's line `keepers`. Errors: OSError if the Raft log file cannot be opened, except
    for disk faults that may pass: the node then does nothing until the disk works.
    """

    def __init__(
        self, loop: Loop, name: str, line: RaftGroupLine, record: GatewayRecord, random_source: RandomSource
    ) -> None:
        self.loop = loop
        self.peers: dict[str, str] = {}  # the other gateways' addresses, by name
        self.log_file: RaftLogFile | None = None
        if name in line.names and line.votes is not None:
            self.log_file = self._open_raft_log(line.votes, record)
        self.node_runner = RaftNodeRunner(
            NodeEnvironment(loop, record, random_source, partial(RaftTransport, loop, name, self.peers)),
            ConfiguredRaftGroup(name, line.names),
            NodeStorage(LeaseTable(max_duration=line.longest), self.log_file, time.time_ns() // MILLI),
        )
        last_number = secrets.randbits(RUN_NUMBER_BITS) << REQUEST_NUMBER_BITS
        self.requests = OperatorRequests(self.node_runner.lease_client, line.longest, last_number)
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
            # The node opens the file when it first reads, which it retries every `STORAGE_RETRY_INTERVAL`
        return log_file

    def update_peers(self, peers: dict[str, str]) -> None:
        """Replaces the addresses, by name, of all other gateways."""
        for name in [name for name in self.peers if name not in peers]:
            del self.peers[name]
        self.peers.update(peers)

    def handle_messages(self, server: Server, request: Request) -> None:
        """Handles a batch of Raft messages from another gateway."""
        self.node_runner.transport.handle(server, request)

    def execute(self, command: OperatorCommand) -> RequestStatus | PoolStatus:
        """Carries out an operator's command. Errors: `LeaseRequestError`."""
        status = self.requests.execute(self.loop.now(), command)
        self._run_due_work()
        return status

    def table(self) -> JsonObject:
        """The lease table for operators; its JSON keys are older than the names in the code."""
        return {"errands": self.requests.all_statuses(self.loop.now()), **self.node_runner.status()}

    def _run_due_work(self) -> None:
        self.requests.tick(self.loop.now())
        self.node_runner.run_due()
        if self.timer is not None:
            self.timer.cancel()
        due = self.requests.due
        self.timer = (
            None if due is None else self.loop.call_at(max(due, self.loop.now() + MILLI), self._run_due_work)
        )

    def stop(self) -> None:
        """Releases all leases; `close` has to follow."""
        self.node_runner.stop()

    def close(self) -> None:
        """Cancels the timer, and closes the sockets and the Raft log file."""
        if self.timer is not None:
            self.timer.cancel()
        self.node_runner.close()
        if self.log_file is not None:
            self.log_file.close()
