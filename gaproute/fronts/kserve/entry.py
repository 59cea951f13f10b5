"""The front at which other gateways forward calls to this one: the clients' form at the address of its peers.

It answers them as a client's, but that it tells the cell's load and what the call found at the host, and that
a declined call that provably never ran is answered 404 where this gateway does not know the cell, else 429,
in place of 503: by the proof table of the hosts (`gaproute.hosts.results`) these two alone prove that. Any
other declined call stays 503 and scrapped stays 504, which prove nothing.
"""

import msgspec

from gaproute.fronts.kserve.front import Front
from gaproute.hosts import forwarding, orca
from gaproute.interface import Found

NEVER_RAN, NOT_KNOWN_HERE = 429, 404


class EntryFront(Front):
    """`server` listens already, and hands over what is for this front by `handle`; `report(cell)`: the cell's
    load as other gateways are told it, or None."""

    def __init__(self, loop, server, core, configuration, ready, report):
        super().__init__(loop, server, core, configuration, ready)
        self.report = report

    def listen(self, where, limits, inherited):
        """The server that was given in place of an address."""
        return where

    def call(self, request, model, version):
        """A request as a call."""
        call = super().call(request, model, version)
        told = forwarding.decode(request.headers)
        if told is None:
            return call
        return call._replace(forwarded=told, origin=forwarding.decode_origin(request.headers))

    def answer(self, request, final, status, fields, body):
        """The one answer to a request."""
        told = forwarding.decode(request.headers)
        if told is not None:
            fields = (*fields, *self._metrics(told.cell, final.found))
        super().answer(request, final, status, fields, body)

    def decline_status(self, request, final):
        """The status of a declined call."""
        if not final.never_ran or forwarding.decode(request.headers) is None:
            return super().decline_status(request, final)
        return NOT_KNOWN_HERE if final.cell_unknown else NEVER_RAN

    def _metrics(self, cell, found):
        """The header that tells the cell's load and what the call found, as far as they are known."""
        report, named = self.report(cell), {}
        if report is not None and report.in_hand is not None:
            named["in_hand"] = report.in_hand
        if found is not Found.UNKNOWN:
            named["copy"] = found.value
        return ((orca.HEADER, b"JSON " + msgspec.json.encode({"named_metrics": named})),) if named else ()
