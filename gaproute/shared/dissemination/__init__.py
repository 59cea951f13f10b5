"""Epidemic dissemination of one small versioned document to every gateway of a fleet.

A newer version is pushed at once to a few peers, drawn from a bounded partial view. Anti-entropy mends what
pushes miss: now and then one peer is sent the current version, and whoever has an older one fetches the
changes or the whole document. No I/O here: the clock and the chance are handed in, messages come through
methods and go as return values. Nothing rests on it but freshness: a gateway that hears nobody keeps the
version that it has. Face: `Disseminator`.
"""

from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.messages import Change, Peer, Send
from gaproute.shared.dissemination.partial_view import Candidates

__all__ = ["Candidates", "Change", "Disseminator", "Document", "DocumentError", "Peer", "Send"]
