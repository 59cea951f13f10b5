"""The policies that can be played, by the names of the command line.

`today` is the policy as it is. The others are its choice in parts, comparisons that see all, and the
candidates for a better one (docs/evenness.md).
"""

from __future__ import annotations

from functools import partial

from benchmarks.fleet import candidates, oracles, smoothed
from benchmarks.fleet.split_choice import EqualFirstChoices, SplitChoiceGateway, SplitSelector
from benchmarks.fleet.world import DecisionsFactory, todays_decisions

SELECTORS: dict[str, type[SplitSelector]] = {
    "parted": SplitSelector,
    "alike": EqualFirstChoices,
    "sees": oracles.TrueQueues,
    "level": oracles.TrueQueuesAndInstances,
    "least": oracles.LowestLoad,
    "told": oracles.SharedCounts,
    "level50": oracles.TrueQueuesAndInstances50,
    "level100": oracles.TrueQueuesAndInstances100,
    "level300": oracles.TrueQueuesAndInstances300,
    "level1000": oracles.TrueQueuesAndInstances1000,
    "aged": candidates.FadingReports,
    "readers": candidates.WeightByReaders,
    "shared": candidates.TiesByCapacity,
    "firsts": candidates.OwnFirstChoice,
    "coarse": candidates.QueueInSteps,
    "coarser": candidates.QueueInLargeSteps,
    "steps": candidates.ReportInLargeSteps,
    "soft": candidates.SoftTies,
    "smooth": smoothed.SmoothedQueue,
    "smoothshared": smoothed.SmoothedTiesByCapacity,
    "softsmooth": smoothed.SmoothedSoftTies,
    "firstssmooth": smoothed.SmoothedOwnFirstChoice,
    "relative": smoothed.RelativeLoad,
    "gentle": smoothed.GentleRelativeLoad,
    "bounded": smoothed.BoundedShare,
    "wide": smoothed.TwoFirstChoices,
    "widebounded": smoothed.BoundedTwoFirstChoices,
}
VARIANTS: dict[str, DecisionsFactory] = {
    "today": todays_decisions,
    **{name: partial(SplitChoiceGateway, selector_type=selector) for name, selector in SELECTORS.items()},
}
