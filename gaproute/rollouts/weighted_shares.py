"""Weighted max-min sharing of lanes among campaigns."""

from collections.abc import Mapping


def share_lanes(total: float, demands: Mapping[str, int], weights: Mapping[str, int]) -> dict[str, int]:
    """Whole lanes for each campaign by weight: no more than its demand, and no more than `total` together.

    Lanes that a campaign with little demand does not need go to the others. Every campaign with any demand
    gets one lane first, so that none starves; if there are too few lanes, the greatest weights come first.
    """
    by_weight = sorted(
        (name for name in demands if demands[name] > 0), key=lambda name: (-weights[name], name)
    )
    shares = dict.fromkeys(demands, 0)
    for name in by_weight[: int(total)]:
        shares[name] = 1
    remaining = int(total) - sum(shares.values())
    while remaining > 0:
        unsatisfied = [name for name in by_weight if shares[name] < demands[name]]
        if not unsatisfied:
            break
        name = min(unsatisfied, key=lambda name: (shares[name] / weights[name], name))
        shares[name] += 1
        remaining -= 1
    return shares
