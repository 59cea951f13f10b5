"""Which zones and regions are silent, by calls to their cells that are overdue.

Overdue calls to two cells of a zone, with nothing heard from the zone since, show that the zone is silent,
and two such zones of a region that the region is: else each of their cells would cost calls of its own. In
the same way overdue calls to three zones, with nothing heard from any zone but the own one since, show that
the own zone is cut off; three zones of other regions, with nothing heard from any of these, that the own
region is. One place may be lost or slow; that all fall silent at one moment is the fault of the own side.

A single overdue call makes its zone, and all outside the own zone or region, suspected until something is
heard from there: calls that must not run twice pass a suspected place over, as they would be lost with it,
and the proof is left to those that may be sent again.

Invariant: whatever is heard from a place ends its suspicion, which lasts `SUSPICION` at most after a call.
"""

from collections.abc import Iterator

from gaproute.decisions.cells.faults import CellRecord, FaultScope
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import Cell

SECOND = 1_000_000_000

SUSPICION = 10 * SECOND  # after an overdue call: it ends also where no call may show that the place is well
MAX_SCOPES = 256  # of which a sign of life is remembered before those that the table lacks are sought out
MIN_SILENT_PARTS = 2  # ways into a cell, cells of a zone, zones of a region: one alone may be slow work
MIN_SILENT_ZONES = 3  # by which the own zone or region is cut off: a region that is lost has two or three


class SilenceDetector:
    """Judges places by the records of their cells. `own`: where this gateway stands, if that is told."""

    def __init__(self, own: GatewayLocation | None):
        self.own = own
        self.cells: dict[str, Cell] = {}
        self.last_heard: dict[tuple[FaultScope, str], int] = {}  # wide place: its last sign of life
        self.suspected: dict[tuple[FaultScope, str], int] = {}  # wide place: when a call was found overdue
        self._zones: dict[tuple[FaultScope, str], set[str]] | None = (
            None  # wide place: its zones, once asked for
        )

    def adopt(self, cells: dict[str, Cell]):
        """Go by a newer table. Costs nothing by its cells but where something is suspected."""
        self.cells, self._zones = cells, None
        if self.suspected or len(self.last_heard) > MAX_SCOPES:
            known = self._zones_by_place()
            self.last_heard = {place: at for place, at in self.last_heard.items() if place in known}
            self.suspected = {place: at for place, at in self.suspected.items() if place in known}

    def outside(self, region: str, zone: str) -> tuple[tuple[FaultScope, str], ...]:
        """The places outside the own zone and outside the own region that a zone belongs to."""
        if self.own is None or zone == self.own.zone:
            return ()
        return self.outside_by_region(region) or ((FaultScope.OTHER_ZONES, self.own.zone),)

    def outside_by_region(self, region: str) -> tuple[tuple[FaultScope, str], ...]:
        """The same for all zones of a region; none for those of the own one."""
        if self.own is None or region == self.own.region:
            return ()
        return (FaultScope.OTHER_ZONES, self.own.zone), (FaultScope.OTHER_REGIONS, self.own.region)

    def places(self, cell: Cell) -> tuple[tuple[FaultScope, str], ...]:
        """All that a cell belongs to, and the cell itself."""
        around = (FaultScope.REGION, cell.region), (FaultScope.ZONE, cell.zone), (FaultScope.CELL, cell.name)
        return *self.outside(cell.region, cell.zone), *around

    def record_answer(self, now: int, cell: Cell):
        """A sign of life from the cell."""
        for place in self._wide_places(cell):
            self.last_heard[place] = now
            self.suspected.pop(place, None)

    def record_overdue(self, now: int, cell: Cell, sent: int):
        """A call to the cell, sent at that time, is overdue."""
        for place in self._wide_places(cell):
            if sent > self.last_heard.get(place, -1):
                self.suspected[place] = now

    def suspects(self, now: int, cell: Cell) -> bool:
        """Whether the cell's zone or what lies around it is suspected."""
        if not self.suspected:
            return False
        found = [self.suspected[place] for place in self._wide_places(cell) if place in self.suspected]
        return any(now - at < SUSPICION for at in found)

    def silent_around(self, cell: Cell, records: dict[str, CellRecord]) -> Iterator[tuple[FaultScope, str]]:
        """The places around a cell with an overdue call that are shown to be silent."""
        for place in self.outside(cell.region, cell.zone):
            if self._cut_off_from(place, records):
                yield place
        zone = self._known_cells(FaultScope.ZONE, cell.zone, records)
        if _silent_cells(zone, _last_heard(zone)) < MIN_SILENT_PARTS:
            return
        yield FaultScope.ZONE, cell.zone
        zones = {}
        for other, record in self._known_cells(FaultScope.REGION, cell.region, records):
            zones.setdefault(other.zone, []).append((other, record))
        heard = max(_last_heard(known) for known in zones.values())
        if (
            sum(_silent_cells(known, heard) >= MIN_SILENT_PARTS for known in zones.values())
            >= MIN_SILENT_PARTS
        ):
            yield FaultScope.REGION, cell.region

    def _wide_places(self, cell):
        """The cell's zone, and the places outside the own zone and region that it belongs to."""
        return *self.outside(cell.region, cell.zone), (FaultScope.ZONE, cell.zone)

    def _zones_by_place(self):
        if self._zones is None:
            self._zones = {}
            for cell in self.cells.values():
                for place in self._wide_places(cell):
                    self._zones.setdefault(place, set()).add(cell.zone)
        return self._zones

    def _cut_off_from(self, place, records):
        heard = self.last_heard.get(place, -1)
        zones = set()
        for name, record in records.items():
            cell = self.cells[name]
            if record.awaited_since(heard) and place in self.outside(cell.region, cell.zone):
                zones.add(cell.zone)
        return len(zones) >= max(MIN_SILENT_PARTS, min(MIN_SILENT_ZONES, len(self._zones_by_place()[place])))

    def _known_cells(self, area, name, records):
        """The cells of a place of which anything was heard or is overdue, with their records."""
        known = ((self.cells[each], record) for each, record in records.items())
        return [(cell, record) for cell, record in known if getattr(cell, area.value) == name]


def _last_heard(known):
    return max(record.last_heard for _, record in known)


def _silent_cells(known, heard):
    """How many of the cells have calls overdue that were sent after that last sign of life."""
    return sum(record.awaited_since(heard) for _, record in known)
