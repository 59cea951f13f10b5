"""The identity of this gateway as a member."""

from gaproute.shared.membership.messages import MemberState, MemberUpdate


class Identity:
    """The name, address and incarnation of this gateway. Only the gateway itself raises its incarnation."""

    def __init__(self, name: str, address: str, incarnation: int) -> None:
        self.name, self.address, self.incarnation = name, address, incarnation
        self.refutation_count = 0

    def own_update(self, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
        """The update by which this gateway announces itself to other members."""
        return MemberUpdate(self.name, self.address, state, self.incarnation)

    def refute(self, update: MemberUpdate) -> None:
        """Raises the incarnation above that of a false update about this gateway.

        An update is false if its incarnation is higher, as it is then about an earlier start of the gateway,
        or if its incarnation is the same and its state is not alive.
        """
        if (update.incarnation, update.state) > (self.incarnation, MemberState.ALIVE):
            if update.state != MemberState.ALIVE:
                self.refutation_count += 1
            self.incarnation = update.incarnation + 1
