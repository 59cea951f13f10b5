"""Detects hosts that fail more often or answer more slowly than the others."""

from statistics import median

from gaproute.decisions.routing.host import Host, HostResult
from gaproute.decisions.routing.parameters import EVALUATION_INTERVAL, EVIDENCE_LIFETIME, MAX_SAMPLES

# Share of bad results up to which no host is doubted: answers of any host can be lost.
TRUSTED_BAD_SHARE = 0.4
INITIAL_GOOD_RESULTS = 1.0  # good results that each host starts with, so that one failure has little effect
# Minimum doubt about a host whose last results were bad: it gets one attempt at a time until it answers.
RECOVERY_DOUBT = 0.5
# A host up to so many times slower than usual is not slow: kinds of machines and of work differ by as much.
SLOWDOWN_TOLERANCE = 1.5
MIN_RELATIVE_TIMES = 3  # samples needed before a host can be slow


class OutlierDetector:
    """Estimates doubt about hosts from their last results. Doubts are cached to save CPU time."""

    def __init__(self) -> None:
        self.doubts_at = -EVALUATION_INTERVAL
        self.doubts: dict[tuple[str, int], float] = {}  # by (host id, request class), computed at `doubts_at`

    def record(self, host: Host, now: int, request_class: int | None, failure_weight: float) -> None:
        """Records a result.

        `failure_weight` is 0 for a good result and 1 for an attempt without an answer; `request_class` is
        None for a probe.
        """
        results = host.results
        same_class = [result for result in results if result.request_class == request_class]
        # The oldest result of the same class is dropped: answers to other classes say nothing about it.
        if len(same_class) >= MAX_SAMPLES:
            results.remove(same_class[0])
        results.append(HostResult(now, request_class, failure_weight))
        host.bad_results = sum([failure_weight > 0 for _, _, failure_weight in results])

    def doubt(self, host: Host, request_class: int, now: int) -> float:
        """Returns how likely the host fails a request of the class, from 0 to 1.

        The doubt is computed from the last results of that class, or of all classes if it has none. It guards
        against hosts that hang, do not answer or fail fast, some of them for one class only: they look idle.
        """
        if not host.bad_results:
            return 0.0
        if now - self.doubts_at >= EVALUATION_INTERVAL:
            self.doubts_at, self.doubts = now, {}
        doubt = self.doubts.get((host.id, request_class))
        if doubt is None:
            doubt = self.doubts[host.id, request_class] = _estimate_doubt(host, request_class, now)
        return doubt

    def slowdown(self, host: Host, now: int) -> float:
        """Returns how many times slower than usual the host answers, beyond the tolerance; 1 if not slower.

        The score of a host divides its capacity and the points for its instances by this figure, because a
        very slow host otherwise looks warm and idle. A host that happens to get the heaviest requests of a
        function is wrongly classified as slow; it is tried again when its samples have expired.
        """
        recent = [
            relative_time for at, relative_time in host.relative_answer_times if now - at < EVIDENCE_LIFETIME
        ]
        return max(1.0, median(recent) / SLOWDOWN_TOLERANCE) if len(recent) >= MIN_RELATIVE_TIMES else 1.0


def _estimate_doubt(host: Host, request_class: int, now: int) -> float:
    recent = [result for result in host.results if now - result.at < EVIDENCE_LIFETIME]
    failure_weights = [result.failure_weight for result in recent if result.request_class == request_class]
    failure_weights = failure_weights or [result.failure_weight for result in recent]
    known = len(failure_weights) + INITIAL_GOOD_RESULTS
    bad = sum([failure_weight > 0 for failure_weight in failure_weights])
    doubt = sum(failure_weights) / known if bad > TRUSTED_BAD_SHARE * known else 0.0
    last = [result.failure_weight for result in host.results[-2:]]
    if host.in_flight and len(last) == 2 and min(last) > 0:
        doubt = max(doubt, RECOVERY_DOUBT)
    return doubt
