"""What must hold of the stand-in change log at any time, as gateways are judged by its tellings. Each check
gives its breaches as text."""


def numbers(log):
    """Events are numbered from 1 without a gap; no way has let out or counted one that is not written."""
    written = len(log.events)
    if len(log.told) != written:
        yield f"{written} events, members of {len(log.told)}"
    for way in log.ways:
        for name in ("due", "counted"):
            if not 0 <= getattr(way, name) <= written:
                yield f"way {way.place}: {name} {getattr(way, name)} of {written}"


def counted(log):
    """On a way that is well, all that is written counts as told."""
    for way in log.ways:
        if not way.troubles and way.counted != len(log.events):
            yield f"way {way.place}: {way.counted} of {len(log.events)} told"


CHECKS = (numbers, counted)


def breaches(log):
    """(name of the check, text) of each breach."""
    return [(check.__name__, text) for check in CHECKS for text in check(log)]
