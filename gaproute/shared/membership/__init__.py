"""Which gateways are up, after SWIM: `Membership` takes messages and the time, and returns what to send."""

from gaproute.shared.membership.membership import Membership
from gaproute.shared.membership.messages import MembershipMessage, MemberState, MemberUpdate, MessageKind

__all__ = ["MemberState", "MemberUpdate", "Membership", "MembershipMessage", "MessageKind"]
