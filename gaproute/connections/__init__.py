"""Connections between their requests: parked without frame, buffer, parser or timer of their own."""

from gaproute.connections.calendar import Calendar
from gaproute.connections.lot import Lot

__all__ = ["Calendar", "Lot"]
