"""Connections between their requests: parked without frame, buffer, parser or timer of their own."""

from gaproute.lobby.calendar import Calendar
from gaproute.lobby.lot import Lot

__all__ = ["Calendar", "Lot"]
