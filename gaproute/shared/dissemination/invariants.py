"""What must always hold of a gateway's dissemination: named checks that return breaches as text."""

from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.messages import changes_size

MOST_PEERS = bounds.VIEW_NEIGHBOURS + bounds.VIEW_ENTRIES + bounds.VIEW_CONFIGURED


def bounded(disseminator):
    """Every collection is bounded."""
    fetching, serving = disseminator.fetch, disseminator.pull_server
    for name, count, most in (
        ("peers", len(disseminator.view.names), MOST_PEERS),
        ("intake budgets", len(disseminator.receive_limits.peers), MOST_PEERS),
        ("changes", len(disseminator.replica.log.changes), bounds.LOG_CHANGES),
        ("bytes of changes", disseminator.replica.log.bytes, bounds.LOG_BYTES),
        ("sightings", len(disseminator.version_reports.by_name), bounds.SIGHTINGS),
        ("versions heard of", len(disseminator.version_reports.times), bounds.SIGHTING_VERSIONS),
        ("further sources", len(fetching.others), bounds.SOURCES),
        ("tries", fetching.tries, bounds.TRIES),
        ("bytes of a whole document", len(disseminator.assembly.data), bounds.MAX_WHOLE),
        ("snapshots", len(serving.snapshots), bounds.SNAPSHOTS),
        ("reasons of refusal", len(disseminator.rejections), bounds.REASONS),
    ):
        if count > most:
            yield f"{count} {name}, {most} at most"


def chained(disseminator):
    """The log is one chain that ends at the version held."""
    changes = list(disseminator.replica.log.changes)
    for earlier, later in zip(changes, changes[1:], strict=False):
        if later.base != earlier.version:
            yield f"a change from {later.base} follows one to {earlier.version}"
    if changes and changes[-1].version != disseminator.document.version:
        yield f"the log ends at {changes[-1].version}, held is {disseminator.document.version}"
    if changes_size(changes) != disseminator.replica.log.bytes:
        yield f"the log counts {disseminator.replica.log.bytes} bytes of {changes_size(changes)}"


def settled(disseminator):
    """A fetch is open only towards a version above that held."""
    fetching = disseminator.fetch
    if fetching.source is not None and fetching.target <= disseminator.document.version:
        yield f"{fetching.target} is fetched, held is {disseminator.document.version}"


def check(disseminator):
    """Breaches as text, none where all is well."""
    return [*bounded(disseminator), *chained(disseminator), *settled(disseminator)]


class Watch:
    """Calls `check` again and again, and sees that the version held never falls."""

    def __init__(self, disseminator):
        self.disseminator = disseminator
        self.version = disseminator.document.version

    def check(self):
        """Breaches as text."""
        version, before = self.disseminator.document.version, self.version
        self.version = version
        fell = [f"the version fell from {before} to {version}"] if version < before else []
        return fell + check(self.disseminator)
