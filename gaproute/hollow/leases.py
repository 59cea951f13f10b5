"""Leases as a part: the product's Raft node and lease client; each gateway holds and renews one lease."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from gaproute.hollow.environment import GatewayEnvironment, RandomStream
from gaproute.hollow.parts import ConfiguredGateway, ControlPart, Parts
from gaproute.peers.raft import ConfiguredRaftGroup, NodeEnvironment, NodeStorage, RaftNodeRunner
from gaproute.shared.leases import LeaseTable
from gaproute.shared.leases.requests import LeaseRequest, LeaseState
from gaproute.units import MILLI, SECOND

LEASE_DURATION = 30 * SECOND  # renewed after half of it
CHECK_INTERVAL = 5 * SECOND  # between checks whether the lease is held
MAX_FIRST_DELAY = SECOND  # of the first request, by chance: the gateways of a fleet do not start at once


class LeasePart(ControlPart):
    """The gateways that the configuration names are the Raft group; all gateways are its clients.

    The group grants leases at once: it does not wait out those of disks that may have been lost.
    """

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        self._loop, self._name = environment.loop, environment.name
        line = environment.configuration.raft_group
        assert line is not None
        self._peer_addresses: dict[str, str] = {}  # changed in place: the transport holds it too
        self.node_runner = RaftNodeRunner(
            NodeEnvironment(
                self._loop,
                environment.record,
                environment.random(RandomStream.LEASES),
                partial(environment.open_raft_transport, self._loop, self._name, self._peer_addresses),
            ),
            ConfiguredRaftGroup(self._name, line.names),
            NodeStorage(
                LeaseTable(initial_wait=False),
                disk=environment.open_raft_disk(self._name) if self._name in line.names else None,
                fencing_base=environment.wall_clock() // MILLI,
            ),
        )
        self._request: LeaseRequest | None = None
        self._rejected = self._expired = 0
        first_delay = environment.random(RandomStream.LEASE_DELAY).below(MAX_FIRST_DELAY)
        self.next_tick = self._loop.now() + first_delay

    @property
    def is_held(self) -> bool:
        """Whether the lease is held now."""
        return self._request is not None and self._request.is_valid_at(self._loop.now())

    def tick(self, now: int) -> None:
        """Request the lease again where it was rejected or has expired."""
        self.next_tick = now + CHECK_INTERVAL
        if self._request is not None:
            if self._request.is_open:
                return
            self._rejected += self._request.state == LeaseState.REJECTED
            self._expired += self._request.state == LeaseState.EXPIRED
        self._request = self.node_runner.lease_client.acquire(now, f"gateway/{self._name}", LEASE_DURATION)
        self.node_runner.run_due()

    def set_gateways(self, gateways: Sequence[ConfiguredGateway]) -> None:
        """Take the addresses of the configured gateways."""
        self._peer_addresses.clear()
        self._peer_addresses.update({gateway.name: gateway.where for gateway in gateways})

    def counters(self) -> dict[str, int]:
        """`entries`: a member's leases and log entries; `bytes`: counted by the simulated transport alone."""
        node_runner, transport = self.node_runner, self.node_runner.transport
        node = node_runner.node
        return {
            "messages": transport.counts["sent"],
            "bytes": transport.counts["bytes"],
            "entries": 0 if node is None else len(node_runner.machine.leases) + len(node.log.entries),
            "held": int(self.is_held),
            "refused": self._rejected,
            "ended": self._expired,
        }

    def close(self) -> None:
        """End without releasing the lease: it expires."""
        self.node_runner.close()
