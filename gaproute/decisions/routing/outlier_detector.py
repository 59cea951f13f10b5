"""Hosts that fail or are slow beyond the others."""

from statistics import median

from gaproute.decisions.routing.host import Host, HostResult
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME, JUDGEMENT_INTERVAL, SAMPLES

SUSPECT_SHARE = 0.4  # of bad results below which no host is doubted: chance and lost answers affect all
GOOD_SAMPLES_GRANTED = 1.0  # to each host: one failure alone halves its worth, no more
RECOVERY_DOUBT = 0.5  # while it is to get one attempt at a time until one is answered
SLOW = 1.5  # times slower than usual before it counts: kinds of machine and work differ by as much
LEAST_PACES = 3  # samples by which a host is taken for slow


class OutlierDetector:
    """Judges hosts by the results of their last attempts. Judgements are cached, to spare CPU."""

    def __init__(self) -> None:
        self.judged_at = -JUDGEMENT_INTERVAL
        self.doubts: dict[tuple[str, int], float] = {}  # (host, request class): judgement since then

    def record(self, host: Host, now: int, request_class: int | None, harm: float) -> None:
        """One more result; `harm`: 0 if good, 1 if unanswered."""
        results = host.results
        same_class = [result for result in results if result.request_class == request_class]
        if len(same_class) >= SAMPLES:  # of its own class alone: good answers of others prove nothing for it
            results.remove(same_class[0])
        results.append(HostResult(now, request_class, harm))
        host.bad_results = sum([harm > 0 for _, _, harm in results])

    def doubt(self, host: Host, request_class: int, now: int) -> float:
        """0 to 1: how likely the host fails the class, by its last results of that class, else of any.

        Guards against hosts that hang, fall silent or fail fast, perhaps one class only: they look idle.
        """
        if not host.bad_results:
            return 0.0
        if now - self.judged_at >= JUDGEMENT_INTERVAL:
            self.judged_at, self.doubts = now, {}
        doubt = self.doubts.get((host.id, request_class))
        if doubt is None:
            doubt = self.doubts[host.id, request_class] = _judge(host, request_class, now)
        return doubt

    def slowdown(self, host: Host, now: int) -> float:
        """Times slower than usual a host answers, beyond what machines and work explain; 1 if none.

        It divides what an instance there is worth, and the lanes: a crawling host looks warm and idle. It
        harms where one host has a function's heaviest work; samples age, so it is tried again.
        """
        recent = [pace for at, pace in host.paces if now - at < EVIDENCE_LIFETIME]
        return max(1.0, median(recent) / SLOW) if len(recent) >= LEAST_PACES else 1.0


def _judge(host: Host, request_class: int, now: int) -> float:
    recent = [result for result in host.results if now - result.at < EVIDENCE_LIFETIME]
    harms = [result.harm for result in recent if result.request_class == request_class]
    harms = harms or [result.harm for result in recent]
    known = len(harms) + GOOD_SAMPLES_GRANTED
    bad = sum([harm > 0 for harm in harms])
    doubt = sum(harms) / known if bad > SUSPECT_SHARE * known else 0.0
    last = [result.harm for result in host.results[-2:]]
    if host.in_flight and len(last) == 2 and min(last) > 0:
        doubt = max(doubt, RECOVERY_DOUBT)
    return doubt
