"""Which cells may be sent to, by this gateway's own proof alone.

A cell is ill when none of its ways in can be reached, when calls by two ways are overdue and nothing was
heard from it since, when it refuses most calls, or when it answers from standing copies far slower than is
usual. Zones, regions and all that lies outside the own zone or region are ill when they are silent
(`silence`). Errors are no proof: a function may fail everywhere.

An ill place gets one trial at a time, each after a longer rest. Once a trial succeeds its functions come back
one by one over a while, in an order that all gateways nearly share, so that the copies lost meanwhile are
loaded at a steady pace.

Invariants: a place that is ill has at most one trial out; rests grow up to `LONGEST_REST`; nothing heard from
others makes a place ill or well.
"""

from statistics import median

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.illness import OUTCOMES, Area, Ill, Illness, Permit, Record
from gaproute.decisions.cells.place import Place
from gaproute.decisions.cells.silence import SILENT_PARTS, Silence
from gaproute.interface import Result

SECOND = 1_000_000_000

FIRST_REST, LONGEST_REST = SECOND, 30 * SECOND  # before trials of an ill place
REST_CHANCE = 0.25  # of a rest, added by chance: gateways do not all try at one moment
PURE_WAIT = 120 * SECOND  # after a rest for a pure call to be the trial; then any call is, and may be lost
TRIAL_TIME = 5 * SECOND  # after which a trial without any answer has failed
OUTCOME_LIFE = 30 * SECOND  # older outcomes say nothing of now; a gateway calls most cells twice in 5 s
MOST = 0.5  # of the last outcomes: more of them refusals make a cell ill
LEAST_OUTCOMES = 4  # by which refusals are judged
SLOW = 4.0  # times slower than usual at which a cell is ill
SHORTEST_RETURN, LONGEST_RETURN = 5 * SECOND, 60 * SECOND  # over which functions come back
RETURN_CHANCE = 0.1  # of the return, by which gateways differ for one function

ANSWERS = (Result.OK, Result.ERROR, Result.STREAM_STARTED)
REFUSALS = (Result.FULL, Result.NOT_LOADED)
FAILURES = (Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)


class Health:
    """Regions, zones and cells that are ill; places are named (area, name)."""

    def __init__(self, own_name, chance, own_place: Place | None = None):
        self.own_name, self.chance = own_name, chance
        self.silence = Silence(own_place)
        self.cells = {}  # name: Cell, of the table
        self.records = {}  # cell: Record
        self.ill = {}  # place: Ill

    def adopt(self, table):
        """Go by a newer table; what it has no more is forgotten."""
        self.cells = table.by_name
        self.silence.adopt(table.by_name)
        self.records = {name: record for name, record in self.records.items() if name in self.cells}
        if self.ill:
            places = {place for cell in table.cells for place in self.silence.places(cell)}
            self.ill = {place: ill for place, ill in self.ill.items() if place in places}

    def permit(self, now, name, function, may_try=True):
        """Whether the function's call may go to the cell; not where a newer table lacks it.

        `may_try`: the call may be sent again elsewhere; others pass over places that are suspected.
        """
        if name not in self.cells or not may_try and self.silence.suspects(now, self.cells[name]):
            return Permit.NO
        permit = Permit.YES
        for place in self.silence.places(self.cells[name]) if self.ill else ():
            ill = self.ill.get(place)
            if ill is None:
                continue
            if ill.healed is None:
                if not _may_try(now, ill):
                    return Permit.NO
                permit = Permit.TRIAL
            elif now >= ill.healed + ill.spread:
                del self.ill[place]
            elif not self._returned(now, ill, function):
                return Permit.NO
        return permit

    def all_well(self):
        """Whether every call may go everywhere."""
        return not self.ill and not self.silence.suspected

    def region_open(self, now, name, function):
        """Whether the region is well, or well again and the function's turn to return there has come."""
        places = (Area.REGION, name), *self.silence.outside_by_region(name)
        illnesses = [self.ill[place] for place in places if place in self.ill]
        return all(ill.healed is not None and self._returned(now, ill, function) for ill in illnesses)

    def is_ill(self, area, name):
        """Whether a place is ill and not yet healed."""
        ill = self.ill.get((area, name))
        return ill is not None and ill.healed is None

    def barred(self, name):
        """Whether the cell or what it lies in is ill and not yet healed."""
        return bool(self.ill) and name in self.cells and bool(self._illnesses(name))

    def only_slow(self, name):
        """Whether the cell answers, though slowly, and what it lies in is well."""
        illnesses = self._illnesses(name) if name in self.cells else []
        return bool(illnesses) and all(ill.illness is Illness.SLOW for ill in illnesses)

    def waits_for_trial(self, now, name):
        """Whether no pure call came to be the trial of a place that has rested."""
        return all(now >= ill.until + PURE_WAIT for ill in self._illnesses(name))

    def tried(self, now, name):
        """A trial goes to the cell; one that went before had no answer."""
        self._trial_failed(now, name)
        for ill in self._illnesses(name):
            ill.trial = now

    def unreachable(self, now, name):
        """No way into the cell can be reached, or no host of it is active."""
        if name in self.cells:
            self._fell(now, (Area.CELL, name), Illness.UNREACHABLE)
            self._trial_failed(now, name)

    def overdue(self, now, name, sent, way):
        """A call to the cell, by that host or entry, is overdue; once for each call."""
        if name not in self.cells:
            return
        record = self.records.setdefault(name, Record())
        if sent <= record.heard:
            return
        record.overdue[way] = sent
        self.silence.overdue(now, self.cells[name], sent)
        self._trial_failed(now, name)
        if len(record.overdue) >= SILENT_PARTS:
            self._fell(now, (Area.CELL, name), Illness.SILENT)
        for place in self.silence.silent_around(self.cells[name], self.records):
            self._fell(now, place, Illness.SILENT)

    def outcome(self, now, name, result, pace=None):
        """A call's outcome. `pace`: its time over the usual of its function, where a copy stood."""
        if name not in self.cells:
            return
        record = self.records.setdefault(name, Record())
        if result in ANSWERS or result in REFUSALS:
            record.heard = now
            self.silence.heard(now, self.cells[name])
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

    def _illnesses(self, name):
        """Of the cell and of what it lies in, those not healed."""
        found = [self.ill.get(place) for place in self.silence.places(self.cells[name])]
        return [ill for ill in found if ill is not None and ill.healed is None]

    def _trial_failed(self, now, name):
        for ill in self._illnesses(name) if self.ill else ():
            if ill.trial is not None:
                self._rest(now, ill)

    def _returned(self, now, ill, function):
        return self._return_place(function) * ill.spread <= now - ill.healed

    def _return_place(self, function):
        """0 to 1: when in a return the function comes; gateways differ little for the same function."""
        shared = xxh3_64_intdigest(function.encode())
        own = xxh3_64_intdigest(f"{self.own_name}\0{function}".encode())
        return ((1 - RETURN_CHANCE) * shared + RETURN_CHANCE * own) / (1 << 64)

    def _fell(self, now, place, illness):
        ill = self.ill.get(place)
        if ill is None:
            self.ill[place] = Ill(illness, now, FIRST_REST, now + self._jittered(FIRST_REST))
        elif ill.healed is not None:
            ill.illness, ill.since, ill.healed = illness, now, None
            self._rest(now, ill)

    def _rest(self, now, ill):
        ill.rest = min(2 * ill.rest, LONGEST_REST)
        ill.until, ill.trial = now + self._jittered(ill.rest), None

    def _jittered(self, rest):
        return rest + self.chance.below(int(REST_CHANCE * rest))

    def _answered(self, now, name):
        """Any answer shows that zone and region are well; a cell that refused or was slow needs a trial."""
        for ill in self._illnesses(name) if self.ill else ():
            if ill.illness is Illness.SILENT or ill.trial is not None:
                ill.healed, ill.trial = now, None
                ill.spread = min(LONGEST_RETURN, max(SHORTEST_RETURN, now - ill.since))

    def _judge_cell(self, now, name, record):
        """Refusals and slowness, by the last outcomes."""
        refused = [refused for at, refused in record.outcomes if now - at < OUTCOME_LIFE]
        paces = [pace for at, pace in record.paces if now - at < OUTCOME_LIFE]
        if len(refused) >= LEAST_OUTCOMES and sum(refused) > MOST * len(refused):
            illness = Illness.REFUSING
        elif len(paces) == OUTCOMES and median(paces) > SLOW:
            illness = Illness.SLOW
        else:
            return
        record.outcomes.clear()
        record.paces.clear()
        self._fell(now, (Area.CELL, name), illness)


def _may_try(now, ill):
    return now >= ill.until and (ill.trial is None or now - ill.trial >= TRIAL_TIME)
