"""What must always hold of a gateway's weak word: named checks that return breaches as text."""

from gaproute.shared.gossip import arrivals, hosts, local_observations
from gaproute.shared.gossip.messages import HIGHEST, SLOTS, sound
from gaproute.shared.gossip.table import TOMBS


def bounded(weak):
    """Every map is bounded. Cheap: call it always."""
    peers = len(weak.told.peers)
    for name, size, most in (
        ("tellers", len(weak.store.tellers), peers),
        ("purses", len(weak.purses), peers),
        ("round", len(weak.told.round), max(peers, weak.told.longest)),
        ("tombstones", len(weak.store.tombs), TOMBS),
        ("hosts' tombstones", len(weak.hosts.tombstones), hosts.MAX_TOMBSTONES),
        ("keys", len(weak.own.keys), local_observations.NAMES),
        ("buckets", len(weak.own.arrivals.past), arrivals.BUCKETS),
        ("functions", len(weak.own.arrivals.counts), arrivals.MAX_FUNCTIONS),
        ("summed functions", len(weak.own.arrivals.sums), arrivals.MAX_FUNCTIONS * arrivals.BUCKETS),
        ("copies", max(map(len, weak.own.copies)), local_observations.COPIES),
        ("hosts", max(map(len, weak.own.figures)), local_observations.HOSTS),
    ):
        if size > most:
            yield f"{size} {name}, {most} at most"


def no_fact_after_its_tombstone(weak):
    for teller, pages in weak.store.tellers.items():
        ended = weak.store.tombs.get(teller, (0, 0))[0]
        for name, held in pages.items():
            if held.version[0] <= ended:
                yield f"{teller} ended with incarnation {ended}, and {name} of {held.version} is held"


def tellers_are_others(weak):
    """Only own facts are told as own: nothing that was heard stands under this gateway's name, and nothing is
    held of one that is no peer."""
    if weak.name in weak.store.tellers:
        yield "a page of this gateway's own was taken from another"
    for teller in weak.store.tellers:
        if teller not in weak.told.peers:
            yield f"facts of {teller} are held, which is no peer"


def pages_can_be(weak):
    for teller, pages in weak.store.tellers.items():
        if len(pages) > sum(SLOTS):
            yield f"{len(pages)} pages of {teller}"
        for (kind, slot), held in pages.items():
            if not 0 < held.version[0] <= HIGHEST or slot >= SLOTS[kind]:
                yield f"page {kind}/{slot} of {teller} has version {held.version}"


class Ages:
    """Ages only grow: of one version nothing is ever held as seen later than before. Keeps what it saw."""

    def __init__(self):
        self.seen = {}

    def __call__(self, weak):
        seen = {
            (teller, name, held.version): held.seen
            for teller, pages in weak.store.tellers.items()
            for name, held in pages.items()
        }
        for page, at in seen.items():
            if at > self.seen.get(page, at):
                yield f"{page} was seen at {self.seen[page]}, now at {at}"
        self.seen = seen


def own_alone(weak, word):
    """A word that is to be sent holds own facts alone, of now or as a page was made lately."""
    hosts_seen = {host for table in weak.own.figures for host in table}
    copies = {copy for slot in weak.own.copies for copy in slot}
    for page in word.pages:
        made = weak.own.made.get(page.kind)
        lately = made is not None and made[1].entries is page.entries
        for entry in () if lately and page.age else page.entries:
            own = (
                entry[0] in hosts_seen,
                entry[0] in hosts_seen,
                entry[:2] in weak.own.arrivals.sums,
                entry[:2] in copies,
            )[page.kind]
            if not own:
                yield f"{entry} of kind {page.kind} is told and was not seen here"
        if sound(page):
            yield f"a page of kind {page.kind} is told that cannot be: {sound(page)}"


def check(weak, dear=False):
    """Breaches as text, none where all is well. The dear ones walk all that is held."""
    found = [*bounded(weak)]
    if dear:
        for each in (no_fact_after_its_tombstone, tellers_are_others, pages_can_be):
            found += each(weak)
    return found
