"""A plan for the next slots: which campaign has a copy at which host, and how many lanes there. The greedy
one, what a plan must keep, and what one is worth once the truth is known."""

import msgspec

from gaproute.rollouts.weighted_shares import shares

LOAD = 0.5  # of a slot that a copy's load takes: what a move costs
LEAST = 1e-6


class CampaignDemand(msgspec.Struct, array_like=True):
    """`lanes`: wanted in all. `copy`: names the version; an exchange of weights keeps it."""

    name: str
    room: int
    weight: int
    lanes: int


class PlanningProblem(msgspec.Struct, array_like=True):
    """`spare`: {host: lanes in each slot}; `room`: {host: for copies}; `standing`: [(campaign, host)];
    `loads`: how many copies may be loaded in one slot; `load`: of a slot that one takes."""

    spare: dict[str, list[float]]
    room: dict[str, int]
    wants: list[CampaignDemand]
    standing: list[tuple[str, str]]
    loads: int
    load: float = LOAD

    @property
    def slots(self):
        return len(next(iter(self.spare.values()), ()))

    def caps(self, slot):
        """{campaign: lanes that are its share then}."""
        total = sum(int(each[slot]) for each in self.spare.values())
        return shares(
            total,
            {want.name: want.lanes for want in self.wants},
            {want.name: want.weight for want in self.wants},
        )


class CopyPlan(msgspec.Struct, array_like=True):
    """`copies`: [(campaign, host, slot from which it stands)], loaded in this order; `lanes`: [(campaign,
    host, lanes in each slot)]."""

    copies: list[tuple[str, str, int]]
    lanes: list[tuple[str, str, list[int]]]


def greedy(problem):
    """Copies that stand stay where they serve; then the campaign furthest below its share gets the host that
    gives it most, while that is more than the load costs."""
    caps = [problem.caps(slot) for slot in range(problem.slots)]
    wants = {want.name: want for want in problem.wants}
    left = {host: [int(lanes) for lanes in spare] for host, spare in problem.spare.items()}
    lacking = {name: [cap[name] for cap in caps] for name in wants}
    room, lanes, copies = dict(problem.room), {}, []

    def gain(name, host, first):
        return sum(min(a, b) for a, b in zip(left[host][first:], lacking[name][first:], strict=True))

    def put(name, host, first):
        given = [0] * problem.slots
        for slot in range(first, problem.slots):
            given[slot] = min(left[host][slot], lacking[name][slot])
            left[host][slot] -= given[slot]
            lacking[name][slot] -= given[slot]
        lanes[name, host] = given
        room[host] -= wants[name].room
        copies.append((name, host, first))

    stand = [(name, host) for name, host in problem.standing if name in wants and host in left]
    while stand:  # each campaign's best first, the one that has least of its share
        name, host = max(
            stand, key=lambda pair: (sum(lacking[pair[0]]) / wants[pair[0]].weight, gain(*pair, 0), pair)
        )
        stand.remove((name, host))
        if room[host] >= wants[name].room and gain(name, host, 0) > 0:
            put(name, host, 0)
    orders, first = 0, 0
    while first < problem.slots:
        best = max(
            (
                (
                    gain(name, host, first) - problem.load * min(left[host][first], lacking[name][first]),
                    sum(lacking[name]) / wants[name].weight,
                    name,
                    host,
                )
                for name in wants
                for host in left
                if (name, host) not in lanes and room[host] >= wants[name].room
            ),
            default=None,
        )
        if best is None or best[0] <= problem.load * max(1, min(left[best[3]])):
            break
        put(best[2], best[3], first)
        orders += 1
        if orders % max(1, problem.loads) == 0:
            first += 1
    return CopyPlan(copies, [(name, host, given) for (name, host), given in lanes.items()])


def wrong(problem, plan):
    """What a plan breaks, as text; a solver's answer is believed only without."""
    came, rooms, used, loads = [], {}, {}, {}
    wants, stand = {want.name: want for want in problem.wants}, set(problem.standing)
    begins = {}
    for name, host, first in plan.copies:
        known = name in wants and host in problem.spare
        if not known or (name, host) in begins or not 0 <= first < problem.slots:
            return [f"plan: copy of {name} at {host} from {first}"]
        begins[name, host] = first
        rooms[host] = rooms.get(host, 0) + wants[name].room
        if (name, host) not in stand:
            loads[first] = loads.get(first, 0) + 1
    came += [f"plan: {room} of room at {host}" for host, room in rooms.items() if room > problem.room[host]]
    came += [f"plan: {count} loads in slot {slot}" for slot, count in loads.items() if count > problem.loads]
    for name, host, given in plan.lanes:
        if (name, host) not in begins or len(given) != problem.slots or min(given, default=0) < 0:
            return [*came, f"plan: lanes of {name} at {host}"]
        for slot, lanes in enumerate(given):
            if lanes and slot < begins[name, host]:
                came.append(f"plan: lanes of {name} at {host} before its copy")
            used[host, slot] = used.get((host, slot), 0) + lanes
    return came + [
        f"plan: {lanes} lanes at {host} in {slot}"
        for (host, slot), lanes in used.items()
        if lanes > problem.spare[host][slot] + LEAST
    ]


def worth(problem, plan, truth):
    """Lane-slots that the plan brings where `truth`, {host: lanes in each slot}, is what was spare; loads
    cost."""
    stand, value = set(problem.standing), 0.0
    begins = {(name, host): first for name, host, first in plan.copies}
    left = {host: list(lanes) for host, lanes in truth.items()}
    for name, host, given in plan.lanes:
        for slot, lanes in enumerate(given):
            got = max(0.0, min(lanes, left[host][slot]))
            left[host][slot] -= got
            loading = (name, host) not in stand and slot == begins[name, host]
            value += got * (1 - problem.load * loading)
    return value
