"""What must always hold of a running round as it believes; each check returns breaches, named first."""

from gaproute.maintenance.controller import ORDERED
from gaproute.maintenance.host_progress import AWAY, there
from gaproute.maintenance.schedule import groups
from gaproute.maintenance.warm_capacity import TOLD, WITNESSES, weight

ORDERS = 4096  # loads and orders to serve remembered at once


def check_round(running, now, fleet):
    """Cheap enough for every tick."""
    came, away, asked = [], running.away(), running.asked
    if len(away) > asked.together:
        came.append(f"at most {asked.together} together: {away}")
    taken = {}
    for name in away:
        for group in groups(asked, fleet, name) if name in fleet else ():
            if group in taken:
                came.append(f"not out together what may not: {taken[group]} and {name}")
            taken[group] = name
    if len(running.places) > len(fleet) + len(away) or len(running.ordered) > ORDERS:
        came.append("maps are bounded: places and orders")
    if any(now - when > 2 * ORDERED for when in running.ordered.values()) and running.stage == "going":
        came.append("maps are bounded: orders are forgotten in time")
    for place in running.places.values():
        if place.wish is not None and place.state not in AWAY:
            came.append(f"a permit is for a host that goes: {place.name} is {place.state}")
        if place.state in ("asking", "ready", "out") and place.wish is None:
            came.append(f"no out without a permit: {place.name} is {place.state}")
    return came


def check_belief(running, now, view):
    """That belief is a lower bound of what was shown or told lately."""
    came = []
    if running.stage in ("ended", "refused"):
        return came  # it looks no more
    for name, functions in running.believed.items():
        seen = view.shown.get(name)
        for function, lanes in functions.items():
            told = view.sights.get(function, {}).get(name)
            if seen is None or seen.draining or not there(now, seen):
                came.append(f"who is not there counts nothing: {name}")
            elif function not in seen.copies and (told is None or len(told[1]) < WITNESSES):
                came.append(f"nothing counts until it is seen warm: {function} at {name}")
            else:
                counts = weight(now - seen.asked) if function in seen.copies else weight(told[0] + TOLD)
                if lanes * 1000 > view.fleet[name].lanes * counts:
                    came.append(
                        f"belief fades with its age: {name} counts {lanes} lanes at {counts} per mille"
                    )
    return came


def check_given(running, now, name, answer, greatest):
    """Of one answer to a crew. `greatest`: {host: fence given last}, kept by the caller over all rounds."""
    if isinstance(answer, str):
        return []
    came, place = [], running.places[name]
    if not (running.holds(now) and place.wish.valid_at(now)):
        came.append(f"no out without a permit: {name}")
    if answer[0] < greatest.get(name, 0):
        came.append(f"no out on an old fence: {name} by {answer[0]} after {greatest[name]}")
    if running.missing and place.since == now:
        came.append(f"the floor is kept as believed: {running.missing[0]} when {name} was given")
    greatest[name] = max(answer[0], greatest.get(name, 0))
    return came
