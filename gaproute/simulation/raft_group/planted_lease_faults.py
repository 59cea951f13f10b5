"""Faults that can be planted in the leases: expiry, fencing tokens and pools."""

from gaproute.shared.leases import commands
from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.shared.leases.table import LeaseTable
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.raft_group.planted_faults import Edit, PlantedFault
from gaproute.simulation.raft_group.setup import RunKind

EXPIRY_CHECKS = (  # find that a lease is still used after the group let it expire
    names.CLIENT_EXPIRES_FIRST,
    names.ONE_HOLDER,
    names.LEASE_OUTLASTS_HOLDER,
    names.HOLDERS_WITHIN_POOL,
)

LEASE_FAULTS = (
    PlantedFault(
        "the group's expiry without the clock bound",
        found_by=EXPIRY_CHECKS,
        seed=4,
        kind=RunKind.TIGHT,
        edits=(
            Edit(commands.expiry_wait, "duration + -(-duration * 3 * error_per_mille // 1000)", "duration"),
        ),
    ),
    PlantedFault(
        "a new leader does not wait for leases of before",
        found_by=EXPIRY_CHECKS,
        seed=1,
        kind=RunKind.TIGHT,
        edits=(
            Edit(
                ExpiryTimers.__init__,
                "self.update(now, fencing_token, log_index, wait)",
                "self.update(now, fencing_token, log_index, 0)",
            ),
        ),
    ),
    PlantedFault(
        "a client counts from the answer",
        found_by=EXPIRY_CHECKS,
        seed=13,
        kind=RunKind.TIGHT,
        edits=(
            Edit(LeaseClient._handle_grant, "request.extend(first_sent_at)", "request.extend(now)"),
            Edit(
                LeaseClient._handle_result,
                "request.extend(command.first_sent_at)",
                "request.extend(now)",
            ),
        ),
    ),
    PlantedFault(
        "a client goes on after expiry",
        found_by=EXPIRY_CHECKS,
        seed=7,
        kind=RunKind.TIGHT,
        edits=(
            Edit(LeaseRequest.is_valid_at, " and now < self.expires_at", ""),
            Edit(
                LeaseClient._release_expired,
                "request.expires_at is not None and now >= request.expires_at",
                "False",
            ),
        ),
    ),
    PlantedFault(
        "what is released is still used",
        found_by=EXPIRY_CHECKS,
        seed=4,
        edits=(Edit(LeaseClient.release, "self._end_request(request, LeaseState.RELEASED)", "pass"),),
    ),
    PlantedFault(
        "a fencing token is used again",
        found_by=(names.LAST_TOKEN_GROWS, names.TOKEN_GIVEN_ONCE, names.TOKENS_GROW),
        seed=4,
        edits=(
            Edit(
                LeaseTable._acquire_lease,
                "self.last_token += 1",
                "self.last_token = max(self.leases, default=self.last_token) + 1",
            ),
        ),
    ),
    PlantedFault(
        "a pool grants one too many",
        found_by=(names.POOL_LIMIT, names.ONE_HOLDER, names.HOLDERS_WITHIN_POOL),
        seed=1,
        edits=(
            Edit(
                LeaseTable._acquire_lease,
                "> self.pool_size(command.resource)",
                "> self.pool_size(command.resource) + 1",
            ),
        ),
    ),
    PlantedFault(
        "every amount counts as one",
        found_by=(names.AMOUNTS_MATCH,),
        seed=1,
        edits=(
            Edit(
                LeaseTable._acquire_lease,
                "self.amounts_held[command.resource] = held + command.amount",
                "self.amounts_held[command.resource] = held + 1",
            ),
        ),
    ),
    PlantedFault(
        "granted at once after all memory was lost",
        found_by=(names.ONE_HOLDER,),
        seed=0,
        kind=RunKind.FORGOTTEN,
        edits=(Edit(LeaseTable._acquire_lease, "if self.initial_wait:", "if False:"),),
    ),
    PlantedFault(
        "fencing tokens begin anew after all memory was lost",
        found_by=(names.TOKENS_GROW,),
        seed=0,
        kind=RunKind.FORGOTTEN,
        edits=(Edit(LeaseTable.raise_last_token, "max(self.last_token, lowest)", "self.last_token"),),
    ),
)
