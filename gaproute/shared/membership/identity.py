"""This gateway as a member."""

from gaproute.shared.membership.messages import MemberState, MemberUpdate


class Identity:
    """The gateway's name, address and incarnation; only the gateway itself raises its incarnation."""

    def __init__(self, name: str, address: str, incarnation: int) -> None:
        self.name, self.address, self.incarnation = name, address, incarnation
        self.refutation_count = 0

    def own_update(self, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
        """The update in which this gateway announces itself."""
        return MemberUpdate(self.name, self.address, state, self.incarnation)

    def refute(self, update: MemberUpdate) -> None:
        """Raises the incarnation above that of an update about this gateway that is of an earlier start, or
        not alive.
        """
        if (update.incarnation, update.state) > (self.incarnation, MemberState.ALIVE):
            if update.state != MemberState.ALIVE:
                self.refutation_count += 1
            self.incarnation = update.incarnation + 1
