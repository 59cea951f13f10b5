"""Acquires, extends and releases leases by the operators' addresses of gateways, with typed answers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.json_objects import JsonObject
from gaproute.cluster.operator_client import NoAnswer, request_operator
from gaproute.loop import Loop, Promise
from gaproute.shared.leases.requests import LeaseState
from gaproute.shared.raft.role import Role
from gaproute.units import MILLI

PATH = "/permits"


class LeaseStatus(NamedTuple):
    """What a gateway says of one lease request: `remaining` is ns until the lease expires, if it is held."""

    request_id: int
    state: LeaseState
    fencing_token: int
    remaining: int


class GatewayLeases(NamedTuple):
    """What a gateway says of all lease requests made there, and of its Raft node's role, if it has one."""

    leases: list[LeaseStatus]
    role: str

    @property
    def leads(self) -> bool:
        """Whether its node leads the group."""
        return self.role == Role.LEADER.value

    def find(self, request_id: int) -> LeaseStatus | None:
        """The lease request of this number, None where the gateway does not know it any more."""
        return next((lease for lease in self.leases if lease.request_id == request_id), None)


class LeaseOperator:
    """Sends lease commands to gateways, by number. Answers are promises of plain JSON or `NoAnswer`."""

    def __init__(self, loop: Loop, plan: AddressPlan) -> None:
        self.loop, self.plan = loop, plan

    def status(self, gateway: int) -> Promise:
        """Asks for the status of all leases that were requested there; see `read_status`."""
        return self._request(gateway)

    def acquire(self, gateway: int, resource: str, *, duration: int, held_for: int) -> Promise:
        """Requests a lease of `duration` ns, renewed by the gateway for `held_for`; see `read_request_id`."""
        return self._request(
            gateway, {"take": resource, "span_ms": duration // MILLI, "for_ms": held_for // MILLI}
        )

    def extend(self, gateway: int, request_id: int, *, held_for: int) -> Promise:
        """Has the gateway renew the lease for `held_for` ns from now."""
        return self._request(gateway, {"keep": request_id, "for_ms": held_for // MILLI})

    def release(self, gateway: int, request_id: int) -> Promise:
        """Releases the lease, or withdraws its request."""
        return self._request(gateway, {"give": request_id})

    def _request(self, gateway: int, command: Mapping[str, object] | None = None) -> Promise:
        return request_operator(self.loop, self.plan.operator(gateway), PATH, command)


def read_status(answer: NoAnswer | JsonObject) -> GatewayLeases | NoAnswer:
    """Reads the answer to `LeaseOperator.status`."""
    if isinstance(answer, NoAnswer):
        return answer
    leases = [
        LeaseStatus(
            row["errand"],
            LeaseState(row["state"]),
            row["fence"],
            row["ms_left"] * MILLI,
        )
        for row in answer["errands"]
    ]
    node = answer["keeper"] or {}  # None where the gateway is not a member of the group
    return GatewayLeases(leases, node.get("role", ""))


def read_request_id(answer: NoAnswer | JsonObject) -> int | None:
    """Reads the lease request's number in the answer to `LeaseOperator.acquire`; None if there is none."""
    return None if isinstance(answer, NoAnswer) else answer.get("errand")
