"""Stand-ins for the platform's parties: as processes (`hosts`, `log`, `clients`), small ones for tests."""

from gaproute.standins.platform.parties import ChangeLog, Client, LineHost, arg, event, sse

__all__ = ["ChangeLog", "Client", "LineHost", "arg", "event", "sse"]
