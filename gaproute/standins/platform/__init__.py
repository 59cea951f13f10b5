"""Stand-ins for the platform's parties: as processes (`hosts`, `log`, `clients`), small ones for tests."""

from gaproute.standins.platform.scripted import (
    ScriptedChangeLog,
    ScriptedClient,
    ScriptedHost,
    arg,
    event,
    sse,
)

__all__ = ["ScriptedChangeLog", "ScriptedClient", "ScriptedHost", "arg", "event", "sse"]
