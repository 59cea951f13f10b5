"""How the spare lanes are shared: by weight, none above its want, and none starves while there is a lane for
each."""


def shares(total, wants, weights):
    """Whole lanes for each: {name: lanes} with at most `total` in all. Filled by weight like communicating
    vessels: who wants less than its share leaves the rest to the others. Whoever wants anything gets one lane
    first, the heaviest first where there are fewer lanes than campaigns."""
    order = sorted((name for name in wants if wants[name] > 0), key=lambda name: (-weights[name], name))
    got = dict.fromkeys(wants, 0)
    for name in order[: int(total)]:
        got[name] = 1
    left = int(total) - sum(got.values())
    while left > 0:
        short = [name for name in order if got[name] < wants[name]]
        if not short:
            break
        name = min(short, key=lambda name: (got[name] / weights[name], name))
        got[name] += 1
        left -= 1
    return got
