"""Clients of leases: they acquire, extend and release leases at the gateways' operators' addresses.

They stand in for programs whose work must not be done twice, and note in the tap what they held when, by the
monotonic clock of the machine. The tap's events are `hold` and `let go` of a `crew`, and `crews over`.

A gateway draws the numbers of its lease requests anew at each start. So a client whose
gateway has ended gives its lease request up, and does not ask the gateway's next process for it.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Iterator
from typing import NamedTuple

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.gateways import ClusterGateways
from gaproute.cluster.lease_operator import LeaseOperator, LeaseStatus, read_request_id, read_status
from gaproute.cluster.operator_client import NoAnswer
from gaproute.cluster.script_lines import LeaseClientsLine
from gaproute.judge import leases
from gaproute.scenarios.processes import Routine
from gaproute.shared.leases.requests import LeaseState
from gaproute.standins.tap import read_tap
from gaproute.units import MILLI

POLL_INTERVAL = 40 * MILLI  # between questions about a lease request
MAX_REST = 60 * MILLI  # between lease requests of one client
# How long a gateway renews a lease that its client does not extend. For as long a client that died blocks its
# resource, and a client waits for a lease that it requested.
RENEWED_FOR = 1200 * MILLI
LOGGED_VIOLATION = b'"event":"raft_invariant_violated"'  # in a gateway's log: its Raft node found one
MAX_LOG_TEXT = 300  # characters of such a line in the verdict
# What a client does when its work is done, drawn: of ten leases five are released, two are extended, three
# are left to expire as if the client had died.
OUTCOMES, RELEASED, EXTENDED = 10, 5, 2


class LeaseJudgement(NamedTuple):
    """Leases that were granted, healings of faults that were looked at, and what was wrong, as text.

    The fields are keys in a verdict.
    """

    granted: int
    healed: int
    broken: list[str]


class LeaseClients:
    """All lease clients of a play; the script may have none. `over`: the day has ended, and they stop."""

    def __init__(self, context: ClusterContext, gateways: ClusterGateways) -> None:
        self.context, self.loop, self.gateways = context, context.loop, gateways
        self.operator = LeaseOperator(context.loop, context.plan)
        self.over = False

    def routines(self) -> list[Routine]:
        """What happens during the day, as coroutines."""
        line = self.context.script.lease_clients
        if line is None:
            return []
        killer = [self._kill_leader(line)] if line.leader_killed_at else []
        clients = [LeaseClientRun(self, line, place).run() for place in range(line.count)]
        return [self._end(), *killer, *clients]

    def _end(self) -> Routine:
        yield self.loop.sleep(self.context.day.length)
        self.over = True
        self.context.tap.note("crews over")

    def _kill_leader(self, line: LeaseClientsLine) -> Routine:
        """A coroutine: kills the leader of the Raft group at the script's time, and starts it again."""
        yield self.loop.sleep(line.leader_killed_at)
        while not self.over:
            for number in range(line.group_size):
                status = read_status((yield self.operator.status(number)))
                if not isinstance(status, NoAnswer) and status.leads:
                    self.context.tap.note("strike", kind="kill", gateways=[number], leader=True)
                    yield from self.gateways.restart(number, signal.SIGKILL, line.back)
                    return
            yield self.loop.sleep(POLL_INTERVAL)

    def judge(self) -> LeaseJudgement | None:
        """What the verdict has of them; None where the script has no lease clients."""
        if self.context.script.lease_clients is None:
            return None
        run = read_tap(self.context.out / "run.tap")
        progress = leases.judge_progress(run)
        violations = [*leases.judge_leases(run), *progress.violations]
        broken = [f"permits, {violation.check}: {violation.text}" for violation in violations]
        granted = len(leases.grant_times(run))
        return LeaseJudgement(granted, progress.healings, [*broken, *self._logged_violations()])

    def _logged_violations(self) -> Iterator[str]:
        for path in sorted(self.context.out.glob("g*.log")):
            for line in path.read_bytes().split(b"\n"):
                if LOGGED_VIOLATION in line.replace(b" ", b""):
                    yield f"{path.stem}: {line.decode()[:MAX_LOG_TEXT]}"


class LeaseClientRun:
    """One client during the day: one lease request after another, each at a gateway that is drawn anew."""

    def __init__(self, clients: LeaseClients, line: LeaseClientsLine, place: int) -> None:
        self.clients, self.line, self.name = clients, line, f"crew-{place}"
        self.loop, self.operator, self.tap = clients.loop, clients.operator, clients.context.tap
        self.gateway_count = clients.context.day.gateways
        self.chance = clients.context.line_random(line, f"crew {place}")

    def run(self) -> Routine:
        """A coroutine: requests and uses one lease after another until the day is over."""
        chance, line = self.chance, self.line
        while not self.clients.over:
            yield self.loop.sleep(chance.randrange(MAX_REST))
            gateway = chance.randrange(self.gateway_count)
            resource = f"r{chance.randrange(line.resources)}"
            request_id = read_request_id(
                (yield self.operator.acquire(gateway, resource, duration=line.duration, held_for=RENEWED_FOR))
            )
            if request_id is not None:
                yield from LeaseUse(self, gateway, request_id, resource).run()


class LeaseUse:
    """One lease request of a client, from when it was made to its end."""

    def __init__(self, client: LeaseClientRun, gateway: int, request_id: int, resource: str) -> None:
        self.client, self.gateway, self.request_id, self.resource = client, gateway, request_id, resource
        self.loop, self.operator = client.loop, client.operator
        self.chance: random.Random = client.chance
        self.fencing_token: int | None = None  # None until it is held
        self.work_until = self.loop.now() + RENEWED_FOR

    def run(self) -> Routine:
        """A coroutine: uses the lease until it is released, has ended, or is left to expire."""
        while not self.client.clients.over:
            asked_at = self.loop.now()
            status = read_status((yield self.operator.status(self.gateway)))
            if status is NoAnswer.LOST:
                return
            if not isinstance(status, NoAnswer):
                lease = status.find(self.request_id)
                if lease is None or not self._goes_on(lease, asked_at):
                    return
            if self.loop.now() < self.work_until:
                yield self.loop.sleep(POLL_INTERVAL)
                continue
            outcome = self.chance.randrange(OUTCOMES)
            if self.fencing_token is not None and RELEASED <= outcome < RELEASED + EXTENDED:
                self._work_on()
                yield self.operator.extend(self.gateway, self.request_id, held_for=RENEWED_FOR)
                continue
            if self.fencing_token is not None and outcome >= RELEASED:
                return  # as if the client had died: its lease expires
            self._note_release()
            yield self.operator.release(self.gateway, self.request_id)
            return

    def _goes_on(self, lease: LeaseStatus, asked_at: int) -> bool:
        """Handles a status of the lease; returns whether it is held, or still requested.

        The moment until which the client may act is counted from when the question was sent, not from when
        the answer came.
        """
        if lease.state is not LeaseState.HELD:
            return lease.state is LeaseState.REQUESTED
        if self.fencing_token is None:
            self.fencing_token = lease.fencing_token
            self._work_on()
        if lease.fencing_token != self.fencing_token:
            return False
        until = asked_at + lease.remaining
        if until > self.loop.now():
            self._note("hold", until=until, gateway=self.gateway)
        return True

    def _work_on(self) -> None:
        self.work_until = self.loop.now() + self.chance.randrange(self.client.line.max_work)

    def _note_release(self) -> None:
        if self.fencing_token is not None:
            self._note("let go")

    def _note(self, what: str, **details: int) -> None:
        self.client.tap.note(
            what, crew=self.client.name, resource=self.resource, fence=self.fencing_token, **details
        )
