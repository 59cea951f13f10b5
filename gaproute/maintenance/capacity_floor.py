"""The floor: warm lanes that each function needs, in the fleet and in each zone, and whether it is kept, now
and when one more thing fails.

A host's lanes count for every function that it has warm; so that they are not all counted on at once, the row
ALL holds the lanes of hosts with anything warm against the sum of all needs. In whole lanes, needs rounded
up.
"""

import msgspec

from gaproute.maintenance.round_spec import LEVELS

ALL = "*"  # all functions together; no function's name may have it
FLEET = ""  # the scope that is the whole fleet
UNHEARD = [(("demand", FLEET), 0, 0, "unheard")]  # what is missing where nobody tells of demand


def need(asked, demand, zones):
    """{(function, scope): lanes}. `demand`: {function: lanes in use at its peak}; `zones`: their names."""
    rows, wanted = {}, asked.functions or tuple(demand)
    for name, peak in [*((name, demand.get(name, 0)) for name in wanted), (ALL, sum(demand.values()))]:
        least = peak * (1000 + asked.margin)
        rows[name, FLEET] = -(-least // 1000)
        for zone in zones if asked.zones else ():
            rows[name, zone] = -(-peak * asked.zones // (1000 * len(zones)))
    return {row: lanes for row, lanes in rows.items() if lanes > 0}


def needs(rounds, demand, zones):
    """The same of several rounds that may run at once: of each row the most."""
    rows = {}
    for asked in rounds:
        for row, lanes in need(asked, demand, zones).items():
            rows[row] = max(lanes, rows.get(row, 0))
    return rows


def strict(asked, beside):
    """The round with the strictest look ahead of all."""
    level = max([asked.survive, *(other.survive for other in beside)], key=LEVELS.index)
    return msgspec.structs.replace(asked, survive=level)


def rows_of(host, warm):
    """{(function, scope): lanes} that one host gives."""
    if not warm:
        return {}
    every = {**warm, ALL: max(warm.values())}
    return {(name, scope): lanes for name, lanes in every.items() for scope in (FLEET, host.zone)}


def standing(fleet, warm, without=()):
    """{(function, scope): lanes} of all hosts but those in `without`."""
    total = {}
    for name, functions in warm.items():
        if name in without or not functions:
            continue
        for row, lanes in rows_of(fleet[name], functions).items():
            total[row] = total.get(row, 0) + lanes
    return total


def short(needs, have):
    """[(row, needed, there)] of what is missing, in the order of the needs."""
    return [(row, lanes, have.get(row, 0)) for row, lanes in needs.items() if have.get(row, 0) < lanes]


def failures(fleet, warm, level, without=()):
    """[(what fails, {row: lanes lost})] of each host, rack or zone that has something warm."""
    lost = {}
    if not level:
        return []
    for name, functions in warm.items():
        if name in without or not functions:
            continue
        host = fleet[name]
        what = name if level == "host" else getattr(host, level)
        rows = lost.setdefault(what, {})
        for row, lanes in rows_of(host, functions).items():
            rows[row] = rows.get(row, 0) + lanes
    return list(lost.items())


def kept(fleet, warm, needs, level, without=()):
    """[(row, needed, there, what fails first or "")] that stands in the way; [] where the floor is kept now
    and when any one thing of the level fails. In a zone that fails its own floor is not asked."""
    have = standing(fleet, warm, without)
    missing = [(*each, "") for each in short(needs, have)]
    if missing:
        return missing
    for what, lost in failures(fleet, warm, level, without):
        for row, lanes in lost.items():
            if row in needs and have[row] - lanes < needs[row] and not (level == "zone" and row[1] == what):
                missing.append((row, needs[row], have[row] - lanes, what))
    return missing


def worded(missing):
    """One text that tells the first thing in the way."""
    if missing == UNHEARD:
        return "demand: nobody tells of it"
    (function, scope), needed, there, what = missing[0]
    where = f"in zone {scope}" if scope else "in the fleet"
    name = "all functions together" if function == ALL else function
    ahead = f" if {what} fails" if what else ""
    return f"floor: {name} {where} needs {needed} warm lanes, has {there}{ahead}"
