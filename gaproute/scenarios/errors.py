"""What can go wrong with the processes of a scripted day."""

from gaproute.errors import GaprouteError


class ScenarioError(GaprouteError):
    """A day could not be played."""


class NotReadyError(ScenarioError):
    """A process that the day is played with did not come up: this says nothing about the gateways."""


class GatewayStartError(ScenarioError):
    """A gateway ended before it had started."""
