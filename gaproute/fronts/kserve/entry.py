"""The front at which other gateways forward calls to this one: the clients' form at the address of its peers.

It answers them as a client's, but that it tells the cell's load, and that a declined call that provably never
ran is answered 429 in place of 503: by the proof table of the hosts (`gaproute.hosts.proof`) 429 alone proves
that. Any other declined call stays 503 and scrapped stays 504, which prove nothing.
"""

import msgspec

from gaproute.fronts.kserve.front import Front
from gaproute.hosts import forwarded, orca

NEVER_RAN = 429


class EntryFront(Front):
    """`server` listens already, and hands over what is for this front by `handle`; `report(cell)`: the cell's
    load as other gateways are told it, or None."""

    def __init__(self, loop, server, core, charter, ready, report):
        super().__init__(loop, server, core, charter, ready)
        self.report = report

    def listen(self, where, limits, inherited):
        """The server that was given in place of an address."""
        return where

    def call(self, request, model, version):
        """A request as a call."""
        call = super().call(request, model, version)
        return call._replace(forwarded=forwarded.read(request.headers))

    def answer(self, request, status, fields, body):
        """The one answer to a request."""
        told = forwarded.read(request.headers)
        if told is not None:
            fields = (*fields, *self._load(told.cell))
        super().answer(request, status, fields, body)

    def decline_status(self, request, never_ran):
        """The status of a declined call."""
        if never_ran and forwarded.read(request.headers) is not None:
            return NEVER_RAN
        return super().decline_status(request, never_ran)

    def _load(self, cell):
        report = self.report(cell)
        if report is None or report.in_hand is None:
            return ()
        figures = {"named_metrics": {"in_hand": report.in_hand}}
        return ((orca.HEADER, b"JSON " + msgspec.json.encode(figures)),)
