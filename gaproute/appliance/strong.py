"""The strong word of one gateway: its seat among keepers and holders, and errands of the operators' address.
Parts wired, nothing decided."""

import secrets
import time

from gaproute.peers.raft import HostedNode
from gaproute.shared.leases import LeaseTable
from gaproute.shared.leases.errands import Errands
from gaproute.storage.files import MOMENTARY
from gaproute.storage.votes import Votes

MILLI = 1_000_000
LIVES = 40  # bits of a life's first errand: with 4,096 after it, all fit JSON's 2^53


class Strong:
    """`line`: the configuration's `keepers`. Errors: OSError where the file of votes cannot be had. A disk
    that fails for a while is no such error: the node of the group is silent until it answers."""

    def __init__(self, loop, name, line, record, chance):
        self.loop, self.peers = loop, {}  # name: address
        self.disk = None
        if name in line.names:
            self.disk = Votes(line.votes, lambda text: record.event("warning", "votes", text=text))
            self._open()
        self.hosted_node = HostedNode(
            loop,
            name,
            line.names,
            self.peers,
            record,
            chance,
            disk=self.disk,
            fencing_base=time.time_ns() // MILLI,
            machine=LeaseTable(max_duration=line.longest),
        )
        self.errands = Errands(self.hosted_node.client, line.longest, secrets.randbits(LIVES) << 12)
        self.timer = None

    def _open(self):
        try:
            self.disk.open()
        except OSError as fault:
            if fault.errno not in MOMENTARY:
                raise
            # the group's node opens it with its first read, which it repeats (`STORAGE_RETRY_INTERVAL`)

    def listed(self, peers):
        """{name: address} of all gateways that may ask. Changed in place, as the carrier holds it."""
        for name in [name for name in self.peers if name not in peers]:
            del self.peers[name]
        self.peers.update(peers)

    def handle(self, server, request):
        self.hosted_node.transport.handle(server, request)

    def ask(self, order):
        """What an operator's order comes to. Errors: ValueError."""
        told = self.errands.ask(self.loop.now(), order)
        self._act()
        return told

    def table(self):
        return {"errands": self.errands.table(self.loop.now()), **self.hosted_node.status()}

    def _act(self):
        self.errands.tick(self.loop.now())
        self.hosted_node.run_due()
        if self.timer is not None:
            self.timer.cancel()
        due = self.errands.due
        self.timer = None if due is None else self.loop.at(max(due, self.loop.now() + MILLI), self._act)

    def stop(self):
        self.hosted_node.stop()

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        self.hosted_node.close()
        if self.disk is not None:
            self.disk.close()
