"""Accepted connections between their requests: parked without buffer, parser or timer of their own."""

from gaproute.connections.accepted import AcceptedConnections
from gaproute.connections.calendar import Calendar

__all__ = ["AcceptedConnections", "Calendar"]
