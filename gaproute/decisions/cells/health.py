"""Which cells may be sent to, by this gateway's own proof alone.

A cell is ill when none of its ways in can be reached, when calls by two ways are overdue and nothing was
heard from it since, when it refuses most calls, or when it answers from standing copies far slower than is
usual. Zones, regions and all that lies outside the own zone or region are ill when they are silent
(`silence`). Errors are no proof: a function may fail everywhere.

An ill place gets one trial at a time, each after a longer rest. Once a trial succeeds its functions come back
one by one over a while, in an order that all gateways nearly share, so that the copies lost meanwhile are
loaded at a steady pace.

Invariants: a place that is ill has at most one trial out; rests grow up to `MAX_BACKOFF`; nothing heard from
others makes a place ill or well.
"""

from statistics import median

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.faults import OUTCOMES, CellRecord, CircuitState, Fault, FaultKind, FaultScope
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.silence import MIN_SILENT_PARTS, SilenceDetector
from gaproute.interface import Result

SECOND = 1_000_000_000

MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND  # before trials of an ill place
BACKOFF_JITTER = 0.25  # of a rest, added by chance: gateways do not all try at one moment
IDEMPOTENT_TRIAL_WAIT = (
    120 * SECOND
)  # after a rest for a pure call to be the trial; then any call is, and may be lost
TRIAL_TIMEOUT = 5 * SECOND  # after which a trial without any answer has failed
OUTCOME_LIFE = 30 * SECOND  # older outcomes say nothing of now; a gateway calls most cells twice in 5 s
MAX_REFUSAL_SHARE = 0.5  # of the last outcomes: more of them refusals make a cell ill
MIN_OUTCOMES = 4  # by which refusals are judged
SLOW = 4.0  # times slower than usual at which a cell is ill
MIN_RECOVERY_RAMP, MAX_RECOVERY_RAMP = 5 * SECOND, 60 * SECOND  # over which functions come back
RAMP_JITTER = 0.1  # of the return, by which gateways differ for one function

ANSWERS = (Result.OK, Result.ERROR, Result.STREAM_STARTED)
REFUSALS = (Result.FULL, Result.NOT_LOADED)
FAILURES = (Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)


class CellHealth:
    """Regions, zones and cells that are ill; places are named (area, name)."""

    def __init__(self, own_name, chance, own_place: GatewayLocation | None = None):
        self.own_name, self.chance = own_name, chance
        self.silence = SilenceDetector(own_place)
        self.cells = {}  # name: Cell, of the table
        self.records = {}  # cell: CellRecord
        self.faults = {}  # place: Fault

    def adopt(self, table):
        """Go by a newer table; what it has no more is forgotten."""
        self.cells = table.by_name
        self.silence.adopt(table.by_name)
        self.records = {name: record for name, record in self.records.items() if name in self.cells}
        if self.faults:
            places = {place for cell in table.cells for place in self.silence.places(cell)}
            self.faults = {place: ill for place, ill in self.faults.items() if place in places}

    def circuit_state(self, now, name, function, may_repeat=True):
        """Whether the function's call may go to the cell; not where a newer table lacks it.

        `may_repeat`: the call may be sent again elsewhere; others pass over places that are suspected.
        """
        if name not in self.cells or not may_repeat and self.silence.suspects(now, self.cells[name]):
            return CircuitState.OPEN
        permit = CircuitState.CLOSED
        for place in self.silence.places(self.cells[name]) if self.faults else ():
            ill = self.faults.get(place)
            if ill is None:
                continue
            if ill.recovered_at is None:
                if not _trial_due(now, ill):
                    return CircuitState.OPEN
                permit = CircuitState.HALF_OPEN
            elif now >= ill.recovered_at + ill.ramp:
                del self.faults[place]
            elif not self._returned(now, ill, function):
                return CircuitState.OPEN
        return permit

    def is_fault_free(self):
        """Whether every call may go everywhere."""
        return not self.faults and not self.silence.suspected

    def region_usable(self, now, name, function):
        """Whether the region is well, or well again and the function's turn to return there has come."""
        places = (FaultScope.REGION, name), *self.silence.outside_by_region(name)
        illnesses = [self.faults[place] for place in places if place in self.faults]
        return all(ill.recovered_at is not None and self._returned(now, ill, function) for ill in illnesses)

    def has_fault(self, area, name):
        """Whether a place is ill and not yet healed."""
        ill = self.faults.get((area, name))
        return ill is not None and ill.recovered_at is None

    def is_faulty(self, name):
        """Whether the cell or what it lies in is ill and not yet healed."""
        return bool(self.faults) and name in self.cells and bool(self._current_faults(name))

    def is_only_slow(self, name):
        """Whether the cell answers, though slowly, and what it lies in is well."""
        illnesses = self._current_faults(name) if name in self.cells else []
        return bool(illnesses) and all(ill.kind is FaultKind.SLOW for ill in illnesses)

    def accepts_any_trial(self, now, name):
        """Whether no pure call came to be the trial of a place that has rested."""
        return all(now >= ill.next_trial_at + IDEMPOTENT_TRIAL_WAIT for ill in self._current_faults(name))

    def trial_sent(self, now, name):
        """A trial goes to the cell; one that went before had no answer."""
        self._trial_failed(now, name)
        for ill in self._current_faults(name):
            ill.trial_sent_at = now

    def record_unreachable(self, now, name):
        """No way into the cell can be reached, or no host of it is active."""
        if name in self.cells:
            self._fault_found(now, (FaultScope.CELL, name), FaultKind.UNREACHABLE)
            self._trial_failed(now, name)

    def record_overdue(self, now, name, sent, way):
        """A call to the cell, by that host or entry, is overdue; once for each call."""
        if name not in self.cells:
            return
        record = self.records.setdefault(name, CellRecord())
        if sent <= record.last_heard:
            return
        record.overdue[way] = sent
        self.silence.record_overdue(now, self.cells[name], sent)
        self._trial_failed(now, name)
        if len(record.overdue) >= MIN_SILENT_PARTS:
            self._fault_found(now, (FaultScope.CELL, name), FaultKind.SILENT)
        for place in self.silence.silent_around(self.cells[name], self.records):
            self._fault_found(now, place, FaultKind.SILENT)

    def record_outcome(self, now, name, result, pace=None):
        """A call's outcome. `pace`: its time over the usual of its function, where a copy stood."""
        if name not in self.cells:
            return
        record = self.records.setdefault(name, CellRecord())
        if result in ANSWERS or result in REFUSALS:
            record.last_heard = now
            self.silence.record_answer(now, self.cells[name])
            record.overdue.clear()
        if result in ANSWERS:
            self._answered(now, name)
        if result in ANSWERS or result in REFUSALS:
            record.outcomes.append((now, result in REFUSALS))
        if pace is not None:
            record.paces.append((now, pace))
        if result in REFUSALS or result in FAILURES:
            self._trial_failed(now, name)
        self._judge_cell(now, name, record)

    def _current_faults(self, name):
        """Of the cell and of what it lies in, those not healed."""
        found = [self.faults.get(place) for place in self.silence.places(self.cells[name])]
        return [ill for ill in found if ill is not None and ill.recovered_at is None]

    def _trial_failed(self, now, name):
        for ill in self._current_faults(name) if self.faults else ():
            if ill.trial_sent_at is not None:
                self._back_off(now, ill)

    def _returned(self, now, ill, function):
        return self._return_place(function) * ill.ramp <= now - ill.recovered_at

    def _return_place(self, function):
        """0 to 1: when in a return the function comes; gateways differ little for the same function."""
        shared = xxh3_64_intdigest(function.encode())
        own = xxh3_64_intdigest(f"{self.own_name}\0{function}".encode())
        return ((1 - RAMP_JITTER) * shared + RAMP_JITTER * own) / (1 << 64)

    def _fault_found(self, now, place, illness):
        ill = self.faults.get(place)
        if ill is None:
            self.faults[place] = Fault(illness, now, MIN_BACKOFF, now + self._jittered(MIN_BACKOFF))
        elif ill.recovered_at is not None:
            ill.kind, ill.since, ill.recovered_at = illness, now, None
            self._back_off(now, ill)

    def _back_off(self, now, ill):
        ill.backoff = min(2 * ill.backoff, MAX_BACKOFF)
        ill.next_trial_at, ill.trial_sent_at = now + self._jittered(ill.backoff), None

    def _jittered(self, rest):
        return rest + self.chance.below(int(BACKOFF_JITTER * rest))

    def _answered(self, now, name):
        """Any answer shows that zone and region are well; a cell that refused or was slow needs a trial."""
        for ill in self._current_faults(name) if self.faults else ():
            if ill.kind is FaultKind.SILENT or ill.trial_sent_at is not None:
                ill.recovered_at, ill.trial_sent_at = now, None
                ill.ramp = min(MAX_RECOVERY_RAMP, max(MIN_RECOVERY_RAMP, now - ill.since))

    def _judge_cell(self, now, name, record):
        """Refusals and slowness, by the last outcomes."""
        refused = [refused for at, refused in record.outcomes if now - at < OUTCOME_LIFE]
        paces = [pace for at, pace in record.paces if now - at < OUTCOME_LIFE]
        if len(refused) >= MIN_OUTCOMES and sum(refused) > MAX_REFUSAL_SHARE * len(refused):
            illness = FaultKind.REFUSING
        elif len(paces) == OUTCOMES and median(paces) > SLOW:
            illness = FaultKind.SLOW
        else:
            return
        record.outcomes.clear()
        record.paces.clear()
        self._fault_found(now, (FaultScope.CELL, name), illness)


def _trial_due(now, ill):
    return now >= ill.next_trial_at and (
        ill.trial_sent_at is None or now - ill.trial_sent_at >= TRIAL_TIMEOUT
    )
