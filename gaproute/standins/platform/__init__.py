"""Stand-ins for the platform's parties: small ones for tests on one loop (`parties`)."""
from gaproute.standins.platform.parties import ChangeLog, Client, LineHost, arg, event, sse

__all__ = ["ChangeLog", "Client", "LineHost", "arg", "event", "sse"]
