"""The housekeeping of one `routing.Gateway`, as a part of the housekeeping of a gateway of cells."""

from collections.abc import Iterator

from gaproute.decisions.cells.actions import Actions
from gaproute.decisions.routing import Gateway
from gaproute.interface import Action, Wait


class Housekeeper:
    """Advances a gateway's housekeeping generator. `due`: when it is to be advanced next, ns."""

    def __init__(self, gateway: Gateway, now: int) -> None:
        self.gateway, self.due = gateway, now
        self._generator: Actions[None] = gateway.housekeep(now)
        self._started = False

    def advance(self, now: int) -> Iterator[Action]:
        """Yields the generator's actions until it waits again."""
        action = self._generator.send((now, None) if self._started else None)
        self._started = True
        while not isinstance(action, Wait):
            yield action
            action = self._generator.send(None)
        self.due = action.until
