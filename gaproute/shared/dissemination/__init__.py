"""Epidemic dissemination of one small versioned document to every gateway of a fleet.

A gateway pushes a newer version at once to a few peers, which it draws from a bounded partial view of the
fleet. Anti-entropy repairs what the pushes miss: at intervals a gateway announces its current version to one
peer, and the gateway of the two that has the older version fetches the changes or the complete document. A
gateway that reaches no peer goes on with the version that it has.

The package does no I/O: its user passes in time, random numbers and received messages, and sends the messages
that methods return. The entry point is `Disseminator`.
"""

from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.messages import Change, OutgoingMessage, Peer
from gaproute.shared.dissemination.partial_view import Candidates

__all__ = ["Candidates", "Change", "Disseminator", "Document", "DocumentError", "OutgoingMessage", "Peer"]
