"""The cell table between gateways. Face: `TableCarrier`.

It is announced and pushed by the membership's datagrams, and pulled by `POST /tables` at the peers' address.
"""

from gaproute.peers.tables.carrier import TableCarrier

__all__ = ["TableCarrier"]
