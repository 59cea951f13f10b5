"""The cell table between gateways, see `CellTableTransport`.

It is announced and pushed by the membership's datagrams, and pulled by HTTP from the peers' server.
"""

from gaproute.peers.tables.transport import CellTableChannels, CellTableSettings, CellTableTransport

__all__ = ["CellTableChannels", "CellTableSettings", "CellTableTransport"]
