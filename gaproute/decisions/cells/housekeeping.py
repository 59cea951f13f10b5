"""Runs the housekeeping of one `routing.Gateway` as part of the housekeeping of a `CellularGateway`."""

from collections.abc import Iterator

from gaproute.decisions.cells.actions import Actions
from gaproute.decisions.routing import Gateway
from gaproute.interface import Action, Wait


class Housekeeper:
    """Advances the housekeeping generator of a gateway. `due`: the time of the next `advance`, ns."""

    def __init__(self, gateway: Gateway, now: int) -> None:
        self.gateway, self.due = gateway, now
        self._generator: Actions[None] = gateway.housekeep(now)
        self._started = False

    def advance(self, now: int) -> Iterator[Action]:
        """Yields the actions of the generator up to its next wait."""
        action = self._generator.send((now, None) if self._started else None)
        self._started = True
        while not isinstance(action, Wait):
            yield action
            action = self._generator.send(None)
        self.due = action.until
