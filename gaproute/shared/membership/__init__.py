"""Which gateways are up, after SWIM: `Members` is told of messages and of time, and says what to send."""

from gaproute.shared.membership.members import Members
from gaproute.shared.membership.news import ALIVE, DEAD, LEFT, STATES, SUSPECT, News, Word

__all__ = ["ALIVE", "DEAD", "LEFT", "STATES", "SUSPECT", "Members", "News", "Word"]
