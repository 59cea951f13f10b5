"""The cell table between gateways. Face: `CellTableTransport`.

It is announced and pushed by the membership's datagrams, and pulled by `POST /tables` at the peers' address.
"""

from gaproute.peers.tables.transport import CellTableTransport

__all__ = ["CellTableTransport"]
