"""What a cluster script cannot have because of the gateways' kind."""

from gaproute.cluster import slot_sets

SETS = {"fault": ("source", "to"), "strike": ("on",), "list": ("on",)}


def named(word, line):
    """The words of its sets; those that cannot be read are told elsewhere."""
    for field in SETS.get(word, ()):
        try:
            yield from (part.what for part in slot_sets.parse(getattr(line, field)))
        except ValueError:
            pass


def wrong(kind, word, line):
    """As text. `kind`: of the `cluster` line."""
    words = list(named(word, line))
    if kind != "platform":
        if "lists" in words:
            yield "lists are of cluster kind platform; others read a file"
        return
    if word == "crews":
        yield "permits are off on the platform's sockets"
    if word in ("strike", "list") and "lists" in words:
        yield f"{word} strikes gateways alone"
    if word == "fault" and line.kind not in ("cut", "hold") and any(what in ("lists", "*") for what in words):
        yield (
            f"a {line.kind} on the change log's way: the judge could not tell when its news was told; "
            "name gateways and hosts"
        )
