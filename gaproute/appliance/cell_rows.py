"""Host lines of cells as rows; of a list that changes, only the lines that did are made rows anew."""

from gaproute.discovery.listing import Listing


class CellRows:
    """The rows of the lists in force."""

    def __init__(self, loop, sizes):
        self.listing = Listing(loop, sizes=sizes)
        self.made = {}  # cell: (its zone, {host: (line, row)})

    def of(self, lists, zones):
        """{cell: rows} of {cell: lines}; a host whose line names no zone stands in that of its cell."""
        self.made = {cell: self._made(cell, lines, zones[cell]) for cell, lines in lists.items()}
        self.listing.forget_others([line for lines in lists.values() for line in lines])
        return {cell: [made[line.name][1] for line in lists[cell]] for cell, (_, made) in self.made.items()}

    def _made(self, cell, lines, zone):
        before_zone, before = self.made.get(cell, (zone, {}))
        if before_zone != zone:
            before = {}
        made = {}
        for line in lines:
            known = before.get(line.name)
            if known is None or known[0] is not line and known[0] != line:
                known = line, self.listing.row(line, zone)
            made[line.name] = known
        return zone, made
