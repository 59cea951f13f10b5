"""Admits accepted connections, and parks them between requests without a buffer, parser or timer each."""

from gaproute.connections.accepted import AcceptedConnections
from gaproute.connections.calendar import Calendar

__all__ = ["AcceptedConnections", "Calendar"]
