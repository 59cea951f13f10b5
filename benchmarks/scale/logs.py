"""What real gateways logged of a change, read from their lines of JSON."""

import json
from datetime import datetime

SUBJECTS = {"host_changed": "host", "member_changed": "member"}  # the field that names the subject, by event


def logged(path, event, name, state, since):
    """Seconds since 1970 when a real gateway last logged the state of a host or gateway; None: not yet."""
    found = None
    for line in path.read_bytes().split(b"\n"):
        if b'"%b"' % name.encode() not in line or b'"%b"' % event.encode() not in line:
            continue
        told = json.loads(line)
        if told.get("event") == event and told.get(SUBJECTS[event]) == name and told.get("state") == state:
            at = datetime.fromisoformat(told["timestamp"]).timestamp()
            found = at if at > since else found
    return found
