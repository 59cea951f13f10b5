"""The invariants of a gateway's dissemination, as named checks that return violations as text."""

from collections.abc import Iterator, Sequence

from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.messages import changes_size
from gaproute.shared.invariants import Bound, exceeded

MAX_PEERS = bounds.MAX_VIEW_NEIGHBOURS + bounds.MAX_VIEW_ENTRY_GATEWAYS + bounds.MAX_VIEW_CONFIGURED_PEERS


def collections_are_bounded(disseminator: Disseminator) -> Iterator[str]:
    """Every collection is collections_are_bounded."""
    yield from exceeded((*_document_bounds(disseminator), *_peer_bounds(disseminator)))


def _document_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    log = disseminator.replica.log
    return (
        Bound("changes", len(log.changes), bounds.MAX_LOG_CHANGES),
        Bound("bytes of changes", log.bytes, bounds.MAX_LOG_BYTES),
        Bound("bytes of a whole document", len(disseminator.assembly.data), bounds.MAX_DOCUMENT_BYTES),
        Bound("snapshots", len(disseminator.pull_server.snapshots), bounds.MAX_SNAPSHOTS),
        Bound("reasons of rejection", len(disseminator.rejections), bounds.MAX_REJECTION_REASONS),
    )


def _peer_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    fetch, reports = disseminator.fetch, disseminator.version_reports
    return (
        Bound("peers", len(disseminator.view.names), MAX_PEERS),
        Bound("receive limits", len(disseminator.receive_limits.peers), MAX_PEERS),
        Bound("reporters", len(reports.reports), bounds.MAX_REPORTERS),
        Bound("versions announced", len(reports.announcement_times), bounds.MAX_REPORTED_VERSIONS),
        Bound("further sources", len(fetch.other_sources), bounds.MAX_OTHER_SOURCES),
        Bound("failures", fetch.failures, bounds.MAX_FETCH_FAILURES),
    )


def changes_form_a_chain(disseminator: Disseminator) -> Iterator[str]:
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


def fetch_target_is_newer(disseminator: Disseminator) -> Iterator[str]:
    """A fetch is open only towards a version above the current one."""
    fetch, current = disseminator.fetch, disseminator.document.version
    if fetch.source is not None and fetch.target <= current:
        yield f"{fetch.target} is fetched, current is {current}"


def check(disseminator: Disseminator) -> list[str]:
    """The violations as text; empty if there are none."""
    return [
        *collections_are_bounded(disseminator),
        *changes_form_a_chain(disseminator),
        *fetch_target_is_newer(disseminator),
    ]


class InvariantMonitor:
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
