"""Disseminates the cell table between gateways; see `CellTableTransport`.

The table is announced and pushed over the datagrams of the membership transport, and pulled over HTTP from
the peer server.
"""

from gaproute.peers.tables.transport import CellTableChannels, CellTableSettings, CellTableTransport

__all__ = ["CellTableChannels", "CellTableSettings", "CellTableTransport"]
