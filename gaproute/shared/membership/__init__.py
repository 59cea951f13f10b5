"""Failure detection among gateways, based on SWIM.

`Membership` has no I/O: it receives messages and the time, and returns the messages to send.
"""

from gaproute.shared.membership.membership import Membership
from gaproute.shared.membership.messages import MembershipMessage, MemberState, MemberUpdate, MessageKind

__all__ = ["MemberState", "MemberUpdate", "Membership", "MembershipMessage", "MessageKind"]
