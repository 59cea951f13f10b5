"""Failure detection among gateways, after SWIM: `Membership` takes messages and the time, and returns
messages.
"""

from gaproute.shared.membership.membership import Membership
from gaproute.shared.membership.messages import MembershipMessage, MemberState, MemberUpdate, MessageKind

__all__ = ["MemberState", "MemberUpdate", "Membership", "MembershipMessage", "MessageKind"]
