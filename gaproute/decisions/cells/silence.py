"""Detects silent zones and regions from overdue requests to their cells.

A zone is silent if requests to two of its cells are overdue and the zone has not answered since; a region is
silent if two of its zones are. Without this, requests would be lost in each of their cells before its fault
is found. In the same way, the own zone is cut off if requests to three other zones are overdue and no other
zone has answered since; the own region is cut off if requests to three zones of other regions are overdue and
none of these has answered since. One domain may fail alone, but if all other domains fall silent at once, the
fault is on the own side.

A single overdue request makes its zone, and all that lies outside the own zone or region, suspected until an
answer arrives from there. Requests that must not run twice avoid a suspected domain, because they could be
lost in it; the other requests show whether it is silent.

Invariant: any answer from a domain ends its suspicion, which lasts at most `MAX_SUSPICION` after the last
request was found overdue.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from gaproute.decisions.cells.faults import CellRecord, FaultDomain, FaultScope
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import Cell
from gaproute.units import SECOND

# After the last overdue request; without it, a domain to which no request is sent would stay suspected
MAX_SUSPICION = 10 * SECOND
MAX_DOMAINS = 256  # stored times of last answers, above which those of domains outside the table are dropped
# Hosts or entries of a cell, cells of a zone, or zones of a region: one alone may just run slow requests
MIN_SILENT_PARTS = 2
# Silent zones that show that the own side is cut off: another region that fails has two or three zones
MIN_SILENT_ZONES = 3
NEVER_ANSWERED = -1  # time of the last answer if there was none


class _KnownCell(NamedTuple):
    """A cell that has answered or has an overdue request, with its record."""

    cell: Cell
    record: CellRecord


class SilenceDetector:
    """Decides from the records of cells which domains are silent or suspected.

    `own_location` is the location of this gateway, or None if it is unknown. For each zone, and for all that
    lies outside the own zone or region, `last_answered` has the time of the last answer from there, and
    `suspected` the time at which a request to it was found overdue.
    """

    def __init__(self, own_location: GatewayLocation | None) -> None:
        self.own_location = own_location
        self.cells: Mapping[str, Cell] = {}
        self.last_answered: dict[FaultDomain, int] = {}
        self.suspected: dict[FaultDomain, int] = {}
        # Zones by domain; None until first needed
        self._cached_zones: dict[FaultDomain, set[str]] | None = None

    def adopt(self, cells: Mapping[str, Cell]) -> None:
        """Replaces the table by a newer one; the cost grows with its cells only if a domain is suspected."""
        self.cells, self._cached_zones = cells, None
        if self.suspected or len(self.last_answered) > MAX_DOMAINS:
            known = self._zones_by_domain()
            self.last_answered = {domain: at for domain, at in self.last_answered.items() if domain in known}
            self.suspected = {domain: at for domain, at in self.suspected.items() if domain in known}

    def outside_domains(self, region: str, zone: str) -> tuple[FaultDomain, ...]:
        """The domains to which a zone belongs because it lies outside the own zone or region."""
        if self.own_location is None or zone == self.own_location.zone:
            return ()
        return self.outside_domains_of_region(region) or ((FaultScope.OTHER_ZONES, self.own_location.zone),)

    def outside_domains_of_region(self, region: str) -> tuple[FaultDomain, ...]:
        """The domains to which all zones of a region belong because they lie outside the own region."""
        if self.own_location is None or region == self.own_location.region:
            return ()
        return (FaultScope.OTHER_ZONES, self.own_location.zone), (
            FaultScope.OTHER_REGIONS,
            self.own_location.region,
        )

    def domains(self, cell: Cell) -> tuple[FaultDomain, ...]:
        """All domains to which a cell belongs, the last of which is the cell itself."""
        around = (FaultScope.REGION, cell.region), (FaultScope.ZONE, cell.zone), (FaultScope.CELL, cell.name)
        return *self.outside_domains(cell.region, cell.zone), *around

    def record_answer(self, now: int, cell: Cell) -> None:
        """Records an answer from the cell."""
        for domain in self._zone_and_outside_domains(cell):
            self.last_answered[domain] = now
            self.suspected.pop(domain, None)

    def record_overdue(self, now: int, cell: Cell, sent_at: int) -> None:
        """Records that a request to the cell that was sent at `sent_at` is overdue."""
        for domain in self._zone_and_outside_domains(cell):
            if sent_at > self.last_answered.get(domain, NEVER_ANSWERED):
                self.suspected[domain] = now

    def is_suspected(self, now: int, cell: Cell) -> bool:
        """Whether the zone of the cell, or an outside domain to which the cell belongs, is suspected."""
        if not self.suspected:
            return False
        found = [
            self.suspected[domain]
            for domain in self._zone_and_outside_domains(cell)
            if domain in self.suspected
        ]
        return any(now - at < MAX_SUSPICION for at in found)

    def silent_domains_around(self, cell: Cell, records: Mapping[str, CellRecord]) -> Iterator[FaultDomain]:
        """Yields the silent domains that contain a cell to which a request is overdue."""
        for domain in self.outside_domains(cell.region, cell.zone):
            if self._is_cut_off_from(domain, records):
                yield domain
        zone = self._known_cells(FaultScope.ZONE, cell.zone, records)
        if _silent_cells(zone, _last_answered(zone)) < MIN_SILENT_PARTS:
            return
        yield FaultScope.ZONE, cell.zone
        if self._is_silent_region(cell.region, records):
            yield FaultScope.REGION, cell.region

    def _is_silent_region(self, region: str, records: Mapping[str, CellRecord]) -> bool:
        zones: dict[str, list[_KnownCell]] = {}
        for known in self._known_cells(FaultScope.REGION, region, records):
            zones.setdefault(known.cell.zone, []).append(known)
        last_answered = max(map(_last_answered, zones.values()))
        silent = [zone for zone in zones.values() if _silent_cells(zone, last_answered) >= MIN_SILENT_PARTS]
        return len(silent) >= MIN_SILENT_PARTS

    def _is_cut_off_from(self, domain: FaultDomain, records: Mapping[str, CellRecord]) -> bool:
        last_answered = self.last_answered.get(domain, NEVER_ANSWERED)
        silent_zones = set()
        for name, record in records.items():
            cell = self.cells[name]
            if record.has_overdue_sent_after(last_answered) and domain in self.outside_domains(
                cell.region, cell.zone
            ):
                silent_zones.add(cell.zone)
        zones = len(self._zones_by_domain()[domain])
        return len(silent_zones) >= max(MIN_SILENT_PARTS, min(MIN_SILENT_ZONES, zones))

    def _zone_and_outside_domains(self, cell: Cell) -> tuple[FaultDomain, ...]:
        """The domains outside the own zone and region to which a cell belongs, and its zone."""
        return *self.outside_domains(cell.region, cell.zone), (FaultScope.ZONE, cell.zone)

    def _zones_by_domain(self) -> dict[FaultDomain, set[str]]:
        if self._cached_zones is None:
            self._cached_zones = {}
            for cell in self.cells.values():
                for domain in self._zone_and_outside_domains(cell):
                    self._cached_zones.setdefault(domain, set()).add(cell.zone)
        return self._cached_zones

    def _known_cells(
        self, scope: FaultScope, name: str, records: Mapping[str, CellRecord]
    ) -> list[_KnownCell]:
        """The cells of a domain that have answered or have an overdue request."""
        known = (_KnownCell(self.cells[cell], record) for cell, record in records.items())
        return [each for each in known if getattr(each.cell, scope.value) == name]


def _last_answered(known: list[_KnownCell]) -> int:
    return max(each.record.last_answered for each in known)


def _silent_cells(known: list[_KnownCell], last_answered: int) -> int:
    """The number of cells to which a request that was sent after that time is overdue."""
    return sum(each.record.has_overdue_sent_after(last_answered) for each in known)
