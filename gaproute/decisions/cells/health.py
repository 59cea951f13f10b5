"""Circuit breakers for cells: which cells may be sent requests, decided from own requests alone.

A cell has a fault if none of its hosts or entries can be reached, if requests through two of them are overdue
and the cell has not answered since, if it rejects most requests, or if its warm instances are far slower than
usual. A zone, a region, or all that lies outside the own zone or region has a fault if it is silent (see
`silence`). Errors are not evidence of a fault: a function may fail everywhere.

A domain with a fault is sent one trial request at a time, each after a longer backoff. After a successful
trial, functions return to the domain one by one over a recovery ramp, in nearly the same order at all
gateways.

Invariants: a domain has one trial at a time; a backoff is at most `MAX_BACKOFF`; messages of other gateways
neither cause nor end a fault.
"""

from collections.abc import Mapping
from statistics import median

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.faults import (
    STORED_OUTCOMES,
    CellRecord,
    CircuitState,
    Fault,
    FaultDomain,
    FaultKind,
    FaultScope,
    RelativeDuration,
    RequestOutcome,
)
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.silence import MIN_SILENT_PARTS, SilenceDetector
from gaproute.decisions.cells.table import Cell, CellTable
from gaproute.interface import Result
from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND  # time before a trial
BACKOFF_JITTER = 0.25  # at most this share of a backoff is added at random, so that gateways differ
IDEMPOTENT_TRIAL_WAIT = 120 * SECOND  # for an idempotent request to use as a trial; then any request is used
OUTCOME_MAX_AGE = 30 * SECOND  # older ones do not count; a gateway sends to most cells twice in 5 s
MAX_REJECTED_SHARE = 0.5  # of the latest outcomes; above it the cell has a fault
MIN_OUTCOMES = 4  # needed to judge rejections
SLOW_RATIO = 4.0  # a cell whose median relative duration is above it has a fault
MIN_RECOVERY_RAMP, MAX_RECOVERY_RAMP = 5 * SECOND, 60 * SECOND  # time over which functions return
RAMP_JITTER = 0.1  # at most this share of the ramp lies between the returns of a function at two gateways
HASH_RANGE = 1 << 64

ANSWERS = (Result.OK, Result.ERROR, Result.STREAM_STARTED)
REJECTIONS = (Result.FULL, Result.NOT_LOADED)
FAILURES = (Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)


class CellHealth:
    """Finds and ends the `faults` of cells, zones and regions. Times are ns of the clock of `now`."""

    def __init__(
        self, own_name: str, chance: RandomSource, own_location: GatewayLocation | None = None
    ) -> None:
        self.own_name, self.chance = own_name, chance
        self.silence = SilenceDetector(own_location)
        self.cells: Mapping[str, Cell] = {}  # of the table
        self.records: dict[str, CellRecord] = {}  # by cell
        self.faults: dict[FaultDomain, Fault] = {}

    def adopt(self, table: CellTable) -> None:
        """Replaces the table by a newer one; drops the state of cells and domains that it does not have."""
        self.cells = table.by_name
        self.silence.adopt(table.by_name)
        self.records = {name: record for name, record in self.records.items() if name in self.cells}
        if self.faults:
            domains = {domain for cell in table.cells for domain in self.silence.domains(cell)}
            self.faults = {domain: fault for domain, fault in self.faults.items() if domain in domains}

    # Where requests may be sent

    def circuit_state(self, now: int, name: str, function: str, *, may_repeat: bool = True) -> CircuitState:
        """Whether a request of the function may be sent to the cell.

        `may_repeat`: the request may run twice; one that must not run twice avoids suspected domains.
        """
        cell = self.cells.get(name)
        if cell is None or not may_repeat and self.silence.is_suspected(now, cell):
            return CircuitState.OPEN
        state = CircuitState.CLOSED
        for domain in self.silence.domains(cell) if self.faults else ():
            domain_state = self._domain_state(now, domain, function)
            if domain_state is CircuitState.OPEN:
                return CircuitState.OPEN
            if domain_state is CircuitState.HALF_OPEN:
                state = CircuitState.HALF_OPEN
        return state

    def is_fault_free(self) -> bool:
        """Whether no domain has a fault or is suspected, so that requests may be sent to all cells."""
        return not self.faults and not self.silence.suspected

    def is_region_usable(self, now: int, name: str, function: str) -> bool:
        """Whether the region has no fault, or has recovered so far that the function has returned there."""
        domains = (FaultScope.REGION, name), *self.silence.outside_domains_of_region(name)
        faults = [self.faults[domain] for domain in domains if domain in self.faults]
        return all(self._has_returned(now, fault, function) for fault in faults)

    def has_fault(self, scope: FaultScope, name: str) -> bool:
        """Whether a domain has a fault and has not recovered."""
        fault = self.faults.get((scope, name))
        return fault is not None and fault.recovered_at is None

    def is_faulty(self, name: str) -> bool:
        """Whether the cell, or its zone or region, has a fault and has not recovered."""
        return bool(self.faults) and name in self.cells and bool(self._current_faults(name))

    def is_only_slow(self, name: str) -> bool:
        """Whether slowness is the only fault of the cell, and its zone and region have none."""
        faults = self._current_faults(name) if name in self.cells else []
        return bool(faults) and all(fault.kind is FaultKind.SLOW for fault in faults)

    def accepts_any_trial(self, now: int, name: str) -> bool:
        """Whether no idempotent request came for a trial in time, so that any request may be used for it."""
        return all(now >= fault.next_trial_at + IDEMPOTENT_TRIAL_WAIT for fault in self._current_faults(name))

    # What attempts show

    def record_trial_sent(self, now: int, name: str) -> None:
        """Records that a trial is sent to the cell; an earlier trial without an answer counts as failed."""
        self._record_trial_failure(now, name)
        for fault in self._current_faults(name):
            fault.trial_sent_at = now

    def record_unreachable(self, now: int, name: str) -> None:
        """Records that no host or entry of the cell can be reached, or that none of its hosts is active."""
        if name in self.cells:
            self._record_fault(now, (FaultScope.CELL, name), FaultKind.UNREACHABLE)
            self._record_trial_failure(now, name)

    def record_overdue(self, now: int, name: str, sent_at: int, via: str) -> None:
        """Records that a request sent through the host or entry `via` is overdue; called once per request."""
        if name not in self.cells:
            return
        record = self.records.setdefault(name, CellRecord())
        if sent_at <= record.last_answered:
            return
        record.overdue[via] = sent_at
        self.silence.record_overdue(now, self.cells[name], sent_at)
        self._record_trial_failure(now, name)
        if len(record.overdue) >= MIN_SILENT_PARTS:
            self._record_fault(now, (FaultScope.CELL, name), FaultKind.SILENT)
        for domain in self.silence.silent_domains_around(self.cells[name], self.records):
            self._record_fault(now, domain, FaultKind.SILENT)

    def record_outcome(
        self, now: int, name: str, result: Result, relative_duration: float | None = None
    ) -> None:
        """Records the outcome of a request.

        `relative_duration`: its duration divided by the mean of its function; None unless an instance was
        warm.
        """
        if name not in self.cells:
            return
        record = self.records.setdefault(name, CellRecord())
        answered, rejected = result in ANSWERS, result in REJECTIONS
        if answered or rejected:
            record.last_answered = now
            self.silence.record_answer(now, self.cells[name])
            record.overdue.clear()
            record.outcomes.append(RequestOutcome(now, rejected))
        if answered:
            self._record_recovery(now, name)
        if relative_duration is not None:
            record.relative_durations.append(RelativeDuration(now, relative_duration))
        if rejected or result in FAILURES:
            self._record_trial_failure(now, name)
        self._judge_cell(now, name, record)

    def _judge_cell(self, now: int, name: str, record: CellRecord) -> None:
        """Records a fault if the latest outcomes show that the cell rejects most requests or is slow."""
        rejected = [outcome.rejected for outcome in record.outcomes if now - outcome.at < OUTCOME_MAX_AGE]
        ratios = [each.ratio for each in record.relative_durations if now - each.at < OUTCOME_MAX_AGE]
        if len(rejected) >= MIN_OUTCOMES and sum(rejected) > MAX_REJECTED_SHARE * len(rejected):
            kind = FaultKind.REJECTING
        elif len(ratios) == STORED_OUTCOMES and median(ratios) > SLOW_RATIO:
            kind = FaultKind.SLOW
        else:
            return
        record.outcomes.clear()
        record.relative_durations.clear()
        self._record_fault(now, (FaultScope.CELL, name), kind)

    # Faults, trials and recovery

    def _domain_state(self, now: int, domain: FaultDomain, function: str) -> CircuitState:
        fault = self.faults.get(domain)
        if fault is None:
            return CircuitState.CLOSED
        if fault.recovered_at is None:
            return CircuitState.HALF_OPEN if fault.is_trial_due(now) else CircuitState.OPEN
        if now >= fault.recovered_at + fault.ramp_duration:
            del self.faults[domain]
            return CircuitState.CLOSED
        return CircuitState.CLOSED if self._has_returned(now, fault, function) else CircuitState.OPEN

    def _current_faults(self, name: str) -> list[Fault]:
        """The faults of the cell, its zone and its region that have not recovered."""
        found = [self.faults.get(domain) for domain in self.silence.domains(self.cells[name])]
        return [fault for fault in found if fault is not None and fault.recovered_at is None]

    def _record_fault(self, now: int, domain: FaultDomain, kind: FaultKind) -> None:
        fault = self.faults.get(domain)
        if fault is None:
            self.faults[domain] = Fault(kind, now, MIN_BACKOFF, now + self._with_jitter(MIN_BACKOFF))
        elif fault.recovered_at is not None:
            fault.kind, fault.since, fault.recovered_at = kind, now, None
            self._back_off(now, fault)

    def _record_trial_failure(self, now: int, name: str) -> None:
        for fault in self._current_faults(name) if self.faults else ():
            if fault.trial_sent_at is not None:
                self._back_off(now, fault)

    def _back_off(self, now: int, fault: Fault) -> None:
        fault.backoff = min(2 * fault.backoff, MAX_BACKOFF)
        fault.next_trial_at, fault.trial_sent_at = now + self._with_jitter(fault.backoff), None

    def _with_jitter(self, backoff: int) -> int:
        return backoff + self.chance.below(int(BACKOFF_JITTER * backoff))

    def _record_recovery(self, now: int, name: str) -> None:
        """Ends the faults that an answer of the cell disproves, its zone's and region's too.

        Any answer ends silence; other faults end with the answer to a trial.
        """
        for fault in self._current_faults(name) if self.faults else ():
            if fault.kind is FaultKind.SILENT or fault.trial_sent_at is not None:
                fault.recovered_at, fault.trial_sent_at = now, None
                fault.ramp_duration = min(MAX_RECOVERY_RAMP, max(MIN_RECOVERY_RAMP, now - fault.since))

    def _has_returned(self, now: int, fault: Fault, function: str) -> bool:
        """Whether the function may be sent to the domain again, by the time since its recovery."""
        if fault.recovered_at is None:
            return False
        return self._ramp_share(function) * fault.ramp_duration <= now - fault.recovered_at

    def _ramp_share(self, function: str) -> float:
        """The share of the recovery ramp after which a function returns; nearly the same at all gateways."""
        shared = xxh3_64_intdigest(function.encode())
        own = xxh3_64_intdigest(f"{self.own_name}\0{function}".encode())
        return ((1 - RAMP_JITTER) * shared + RAMP_JITTER * own) / HASH_RANGE
