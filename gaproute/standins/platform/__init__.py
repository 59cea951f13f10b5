"""Stand-ins on the platform's protocols: hosts, change log, clients; small scripted ones for tests."""

from gaproute.standins.platform.scripted import (
    ScriptedChangeLog,
    ScriptedClient,
    ScriptedHost,
    arg,
    event,
    sse,
)

__all__ = ["ScriptedChangeLog", "ScriptedClient", "ScriptedHost", "arg", "event", "sse"]
