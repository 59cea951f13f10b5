"""What a campaign asks, and why one is refused at once: contradictions, unknown names, what can never fit."""

from typing import NamedTuple

from gaproute.shared.leases.commands import MAX_DURATION, expiry_wait
from gaproute.shared.messages import HIGHEST

MILLI, SECOND = 1_000_000, 1_000_000_000

WAY = SECOND  # ns that a relay may be under way to its host; its connection is closed by then
SPARE = 2 * SECOND  # ns of a permit beside the rollouts under it: several askings of the keepers
CAMPAIGNS = 32  # at once: each costs every gateway a row for each host
STEPS = 1_000_000
TASKS = 10_000_000  # a step: counters and forecasts stay small numbers


class RolloutHost(NamedTuple):
    """`lanes`: tasks at once; `room`: for copies, in the unit of the campaigns' `room`."""

    name: str
    zone: str
    lanes: int
    room: int


class Campaign(NamedTuple):
    """`tasks` a step, `steps` in all; a rollout may be `old` steps old; `group` tasks of one prompt; `room`
    of a copy; `most`: ns that one rollout may run, told to hosts as its limit; `takes`: ns that one usually
    runs; `by`: ns after its begin, or `pace`: tasks a second, 0 where not asked; `floors`: lanes by host or
    zone never taken."""

    name: str
    function: str
    version: int
    tasks: int
    steps: int
    old: int
    room: int
    most: int
    takes: int
    group: int = 1
    by: int = 0
    pace: float = 0.0
    weight: int = 1
    cancel: bool = True
    floors: dict = {}

    @property
    def need(self):
        """ns of a permit that a rollout which begins now needs: its way and its run, by a host's clock that
        may be slow while the holder's is fast."""
        return expiry_wait(self.most + WAY)

    @property
    def span(self):
        """ns: renewed at its half there is still room for a whole rollout."""
        return 2 * (self.need + SPARE)


def floors(campaigns):
    """The strictest of all: pools are shared by the campaigns."""
    strict = {}
    for campaign in campaigns:
        for name, lanes in campaign.floors.items():
            strict[name] = max(lanes, strict.get(name, 0))
    return strict


def lendable(hosts, floors):
    """{host: lanes that may be lent at most}. A zone's floor is laid on its hosts, on those with most left
    first, so that a host's pool alone keeps both floors, whoever is cut off."""
    room = {host.name: max(0, host.lanes - floors.get(host.name, 0)) for host in hosts}
    zones = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host)
    for zone, members in zones.items():
        lacking = floors.get(zone, 0) - sum(host.lanes - room[host.name] for host in members)
        while lacking > 0:
            name = max((host.name for host in members), key=lambda name: room[name])
            if not room[name]:
                break
            room[name] -= 1
            lacking -= 1
    return room


def check(campaigns, hosts, functions):
    """Every mistake as a line that names campaign and word; none if all can run. `functions`: names known."""
    came = [f"campaigns: {len(campaigns)}, at most {CAMPAIGNS}"] if len(campaigns) > CAMPAIGNS else []
    names = [campaign.name for campaign in campaigns]
    for campaign in campaigns:
        wrong = [f"name: {campaign.name} twice"] if names.count(campaign.name) > 1 else []
        wrong += [*_contradicts(campaign), *_unknown(campaign, hosts, functions)]
        came += [f"campaign {campaign.name}: {text}" for text in wrong or _unfit(campaign, campaigns, hosts)]
    return came


def _contradicts(campaign):
    for word, least, most in (
        ("tasks", 1, TASKS),
        ("steps", 1, STEPS),
        ("old", 0, STEPS),
        ("group", 1, TASKS),
        ("room", 1, HIGHEST),
        ("takes", 1, MAX_DURATION),
        ("most", 1, MAX_DURATION),
        ("by", 0, 1 << 60),
        ("weight", 1, 1000),
        ("pace", 0, TASKS),
        ("version", 0, 1 << 40),
    ):
        value = getattr(campaign, word)
        if not least <= value <= most:
            yield f"{word}: {value}, from {least} to {most}"
    if campaign.by and campaign.pace:
        yield "pace: by is given as well, one of them says the other"
    if campaign.group > 0 and campaign.tasks % campaign.group:
        yield f"group: {campaign.group} does not divide tasks {campaign.tasks}"
    if campaign.takes > campaign.most:
        yield "takes: longer than most"
    if campaign.span > MAX_DURATION:
        yield (
            f"most: a permit of {campaign.span / 1e9:.0f} s would be needed, "
            f"the longest is {MAX_DURATION / 1e9:.0f} s"
        )
    for name, lanes in campaign.floors.items():
        if lanes < 0:
            yield f"floors: {name} {lanes} is below nought"


def _unknown(campaign, hosts, functions):
    if campaign.function not in functions:
        yield f"function: {campaign.function} is not known"
    known = {host.name for host in hosts} | {host.zone for host in hosts}
    for name in campaign.floors:
        if name not in known:
            yield f"floors: {name} is no host and no zone"


def most_pace(campaign, campaigns, hosts):
    """Tasks a second if all that may ever be lent where a copy fits were its own."""
    room = lendable(hosts, floors(campaigns))
    return sum(room[host.name] for host in hosts if host.room >= campaign.room) * SECOND / campaign.takes


def _unfit(campaign, campaigns, hosts):
    """What no day can bring."""
    strict = floors(campaigns)
    for name, lanes in campaign.floors.items():
        has = sum(host.lanes for host in hosts if name in (host.name, host.zone))
        if lanes > has:
            yield f"floors: {name} {lanes} is above all of it, {has} would fit"
    largest = max((host.room for host in hosts), default=0)
    if campaign.room > largest:
        yield f"room: a copy of {campaign.room} fits no host, {largest} would fit"
        return
    pace, work = most_pace(campaign, campaigns, hosts), campaign.tasks * campaign.steps
    if not pace:
        taken = ", ".join(f"{name} {lanes}" for name, lanes in sorted(strict.items()))
        yield f"floors: nothing may be lent where a copy fits ({taken}), lower ones would fit"
    elif campaign.pace > pace:
        yield f"pace: {campaign.pace:g} a second can never be, {pace:.1f} would fit"
    elif campaign.by and work * SECOND > pace * campaign.by:
        yield (
            f"by: {work} tasks in {campaign.by / 1e9:.0f} s can never be, by {work / pace:.0f} s or "
            f"{int(pace * campaign.by / SECOND / campaign.steps)} tasks a step would fit"
        )
