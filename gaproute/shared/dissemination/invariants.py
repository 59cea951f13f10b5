"""The invariants of a gateway's dissemination, as named checks that return violations as text."""

from collections.abc import Iterator, Sequence

from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.messages import changes_size
from gaproute.shared.invariants import Bound, bound_violations

MAX_PEERS = bounds.VIEW_NEIGHBOURS + bounds.VIEW_ENTRIES + bounds.VIEW_CONFIGURED


def bounded(disseminator: Disseminator) -> Iterator[str]:
    """Every collection is bounded."""
    yield from bound_violations((*_document_bounds(disseminator), *_peer_bounds(disseminator)))


def _document_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    log = disseminator.replica.log
    return (
        Bound("changes", len(log.changes), bounds.LOG_CHANGES),
        Bound("bytes of changes", log.bytes, bounds.LOG_BYTES),
        Bound("bytes of a whole document", len(disseminator.assembly.data), bounds.MAX_DOCUMENT_BYTES),
        Bound("snapshots", len(disseminator.pull_server.snapshots), bounds.MAX_SNAPSHOTS),
        Bound("reasons of rejection", len(disseminator.rejections), bounds.MAX_REASONS),
    )


def _peer_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    fetch, reports = disseminator.fetch, disseminator.version_reports
    return (
        Bound("peers", len(disseminator.view.names), MAX_PEERS),
        Bound("receive limits", len(disseminator.receive_limits.peers), MAX_PEERS),
        Bound("reporters", len(reports.by_name), bounds.MAX_REPORTERS),
        Bound("versions announced", len(reports.times), bounds.MAX_REPORTED_VERSIONS),
        Bound("further sources", len(fetch.other_sources), bounds.MAX_SOURCES),
        Bound("failures", fetch.failures, bounds.MAX_FAILURES),
    )


def chained(disseminator: Disseminator) -> Iterator[str]:
    """The stored changes form one chain that ends at the current version."""
    log = disseminator.replica.log
    changes = list(log.changes)
    for earlier, later in zip(changes, changes[1:], strict=False):
        if later.base != earlier.version:
            yield f"a change from {later.base} follows one to {earlier.version}"
    if changes and changes[-1].version != disseminator.document.version:
        yield f"the log ends at {changes[-1].version}, current is {disseminator.document.version}"
    if changes_size(changes) != log.bytes:
        yield f"the log counts {log.bytes} bytes of {changes_size(changes)}"


def settled(disseminator: Disseminator) -> Iterator[str]:
    """A fetch is open only towards a version above the current one."""
    fetch, current = disseminator.fetch, disseminator.document.version
    if fetch.source is not None and fetch.target <= current:
        yield f"{fetch.target} is fetched, current is {current}"


def check(disseminator: Disseminator) -> list[str]:
    """The violations as text; empty if there are none."""
    return [*bounded(disseminator), *chained(disseminator), *settled(disseminator)]


class Watch:
    """Calls `check` repeatedly, and checks that the current version never falls."""

    def __init__(self, disseminator: Disseminator) -> None:
        self._disseminator = disseminator
        self._version = disseminator.document.version

    def check(self) -> list[str]:
        """Violations as text."""
        version, before = self._disseminator.document.version, self._version
        self._version = version
        fell = [f"the version fell from {before} to {version}"] if version < before else []
        return fell + check(self._disseminator)
