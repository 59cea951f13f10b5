"""Who chooses, by name: the policy as it is, some that see all, and the candidates (docs/evenness.md)."""

from functools import partial

from benchmarks.fleet import candidates, seers, smoothed
from benchmarks.fleet.parted import Alike, PartedGateway, PartedSelector
from gaproute.decisions.routing import Gateway

SELECTORS = {
    "parted": PartedSelector,
    "alike": Alike,
    **{
        each.__name__.lower(): each
        for each in (
            seers.Sees,
            seers.Level,
            seers.Least,
            seers.Told,
            *[seers.lagging(seers.Level, milli) for milli in (50, 100, 300, 1000)],
            candidates.Aged,
            candidates.Readers,
            candidates.Shared,
            candidates.Firsts,
            candidates.Coarse,
            candidates.Coarser,
            candidates.Steps,
            candidates.Soft,
            smoothed.Smooth,
            smoothed.SmoothShared,
            smoothed.SoftSmooth,
            smoothed.FirstsSmooth,
            smoothed.Relative,
            smoothed.Gentle,
            smoothed.Bounded,
            smoothed.Wide,
            smoothed.WideBounded,
        )
    },
}
VARIANTS = {
    "today": lambda world, seed, terms, now: Gateway(seed, terms, now),
    **{name: partial(PartedGateway, selector_type=selector) for name, selector in SELECTORS.items()},
}
