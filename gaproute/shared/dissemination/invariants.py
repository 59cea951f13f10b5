"""The invariants of a gateway's dissemination: each check yields its violations as text."""

from collections.abc import Iterator, Sequence

from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.disseminator import Disseminator
from gaproute.shared.dissemination.messages import changes_size
from gaproute.shared.invariants import Bound, bound_violations

MAX_PEERS = bounds.MAX_VIEW_NEIGHBOURS + bounds.MAX_VIEW_ENTRY_GATEWAYS + bounds.MAX_VIEW_CONFIGURED_PEERS


def collections_are_bounded(disseminator: Disseminator) -> Iterator[str]:
    """Checks that every collection is within its bound."""
    yield from bound_violations((*_document_bounds(disseminator), *_peer_bounds(disseminator)))


def _document_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    log = disseminator.replica.log
    return (
        Bound("stored changes", len(log.changes), bounds.MAX_LOG_CHANGES),
        Bound("bytes of stored changes", log.stored_bytes, bounds.MAX_LOG_BYTES),
        Bound("bytes of received parts", len(disseminator.assembly.data), bounds.MAX_DOCUMENT_BYTES),
        Bound("snapshots", len(disseminator.pull_server.snapshots), bounds.MAX_SNAPSHOTS),
        Bound("reasons for rejection", len(disseminator.rejections), bounds.MAX_REJECTION_REASONS),
    )


def _peer_bounds(disseminator: Disseminator) -> Sequence[Bound]:
    fetch, reports = disseminator.fetch, disseminator.version_reports
    return (
        Bound("peers in the view", len(disseminator.view.names), MAX_PEERS),
        Bound("receive limits of peers", len(disseminator.receive_limits.peers), MAX_PEERS),
        Bound("reporters", len(reports.reports), bounds.MAX_REPORTERS),
        Bound("announced versions", len(reports.announcement_times), bounds.MAX_REPORTED_VERSIONS),
        Bound("other sources", len(fetch.other_sources), bounds.MAX_OTHER_SOURCES),
        Bound("failures of the fetch", fetch.failures, bounds.MAX_FETCH_FAILURES),
    )


def changes_form_a_chain(disseminator: Disseminator) -> Iterator[str]:
    """Checks that the stored changes form one chain, which ends at the current version."""
    log = disseminator.replica.log
    changes = list(log.changes)
    for earlier, later in zip(changes, changes[1:], strict=False):
        if later.base != earlier.version:
            yield f"a stored change from {later.base} follows a change to {earlier.version}"
    if changes and changes[-1].version != disseminator.document.version:
        yield f"the log ends at {changes[-1].version}, the document is at {disseminator.document.version}"
    if changes_size(changes) != log.stored_bytes:
        yield f"the log counts {log.stored_bytes} bytes, but its changes have {changes_size(changes)}"


def fetch_target_is_newer(disseminator: Disseminator) -> Iterator[str]:
    """Checks that a fetch has a newer target than the current version."""
    fetch, current = disseminator.fetch, disseminator.document.version
    if fetch.source is not None and fetch.target <= current:
        yield f"{fetch.target} is fetched, but the current version is {current}"


def check(disseminator: Disseminator) -> list[str]:
    """The violations as text; empty if there are none."""
    return [
        *collections_are_bounded(disseminator),
        *changes_form_a_chain(disseminator),
        *fetch_target_is_newer(disseminator),
    ]


class InvariantMonitor:
    """Checks the invariants at each call, and that the current version did not fall since the last one."""

    def __init__(self, disseminator: Disseminator) -> None:
        self._disseminator = disseminator
        self._version = disseminator.document.version

    def check(self) -> list[str]:
        """The violations as text; empty if there are none."""
        version, before = self._disseminator.document.version, self._version
        self._version = version
        fell = [f"the current version fell from {before} to {version}"] if version < before else []
        return fell + check(self._disseminator)
