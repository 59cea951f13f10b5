"""Epidemic dissemination of one small versioned document to every gateway of a fleet.

A newer version is pushed at once to a few peers, drawn from a bounded partial view. Anti-entropy repairs what
pushes miss: at intervals one peer is sent the current version, and the side with the older one fetches the
changes or the complete document. No I/O here: time and random numbers are handed in, messages come through
methods and are returned. A gateway that reaches no peer uses the version that it has. The entry point is
`Disseminator`.
"""

from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.messages import Change, OutgoingMessage, Peer
from gaproute.shared.dissemination.partial_view import Candidates

__all__ = ["Candidates", "Change", "Disseminator", "Document", "DocumentError", "OutgoingMessage", "Peer"]
