"""What real gateways logged of a change, read from their lines of JSON."""

from __future__ import annotations

import json
from datetime import datetime
from pathlib import Path

SUBJECTS = {"host_changed": "host", "member_changed": "member"}  # the field that names the subject, by event


def logged_at(path: Path, event: str, name: str, state: str, since: float) -> float | None:
    """When a real gateway last logged the state of a host or gateway, after `since`; None: not yet.

    Times are seconds since 1970.
    """
    found = None
    for line in path.read_bytes().split(b"\n"):
        if b'"%b"' % name.encode() not in line or b'"%b"' % event.encode() not in line:
            continue
        entry = json.loads(line)
        if entry.get("event") == event and entry.get(SUBJECTS[event]) == name and entry.get("state") == state:
            at = datetime.fromisoformat(entry["timestamp"]).timestamp()
            found = at if at > since else found
    return found
