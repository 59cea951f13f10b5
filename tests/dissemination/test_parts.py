"""The parts of the dissemination: budget, log, view, whole documents in parts, what is known of others."""

from collections import Counter

import pytest
from cells_tables import cells, table
from dissemination_mesh import FLEET, StubDocument, Version, change_from

from gaproute.decisions.chance import Chance
from gaproute.shared.dissemination import Candidates, Peer, bounds
from gaproute.shared.dissemination.cell_peers import candidates_from_table
from gaproute.shared.dissemination.messages import NO_VERSION, BusyAnswer, ChangesAnswer, PartAnswer, Pull
from gaproute.shared.dissemination.partial_view import PartialView
from gaproute.shared.dissemination.pull_server import PullServer
from gaproute.shared.dissemination.recent_changes import RecentChanges
from gaproute.shared.dissemination.version_reports import VersionReports
from gaproute.shared.token_bucket import TokenBucket
from gaproute.units import SECOND


def logged(count, data=b"x" * 200):
    """A log of so many changes that follow 1.1, and the version it ends at."""
    log, version = RecentChanges(), Version(1, 1)
    for _ in range(count):
        change = change_from(version, data)
        log.append(change)
        version = change.version
    return log, version


def peers(count, prefix="peer"):
    return tuple(Peer(f"{prefix}{number}", f"127.0.0.1:{number}") for number in range(count))


# TokenBucket


def test_a_budget_gives_its_rate_and_a_burst():
    budget, spent = TokenBucket(100, 300, 0), 0
    for now in range(0, 10 * SECOND, SECOND // 50):
        while budget.take(now, 7):
            spent += 7
    assert 1250 <= spent <= 1300
    assert 0 < budget.wait(10 * SECOND, 50) <= SECOND // 2


# Log


def test_the_log_gives_what_follows_a_version_within_the_bytes():
    log, version = logged(10)
    assert [change.version.number for change in log.since(Version(1, 8), 10_000)] == [9, 10, 11]
    assert len(log.since(Version(1, 1), 500)) == 2
    assert log.since(version, 10_000) == ()
    assert log.since(Version(1, 99), 10_000) == ()
    assert log.since(NO_VERSION, 10_000) == ()


def test_the_log_is_bounded_and_a_gap_begins_it_anew():
    log, version = logged(500)
    assert len(log.changes) == bounds.MAX_LOG_CHANGES
    assert log.reaches(Version(1, version.number - bounds.MAX_LOG_CHANGES))
    assert not log.reaches(Version(1, 5))
    log.append(change_from(Version(1, 900)))
    assert len(log.changes) == 1
    log, _ = logged(50, b"x" * 8_000)
    assert log.bytes <= bounds.MAX_LOG_BYTES


# PartialView


def test_a_view_is_bounded_and_spread_over_the_zones():
    view = PartialView("peer0", Chance(3))
    entries = {f"zone{zone}": peers(100 + zone * 50, f"zone{zone}-") for zone in range(13)}
    view.set_candidates(Candidates(peers(200), entries, peers(20, "configured"), 16_000))
    assert len(view.inside) == bounds.MAX_VIEW_NEIGHBOURS
    assert len(view.names) <= 64
    assert "peer0" not in view.names
    zones = Counter(name.split("-")[0] for name in view.names if name.startswith("zone"))
    assert len(zones) == 13
    assert max(zones.values()) - min(zones.values()) <= 1


def test_few_messages_leave_a_large_cell_and_all_of_a_gateway_alone():
    entries = {"zone1": peers(1470, "entry")}
    view = PartialView("peer0", Chance(5))
    view.set_candidates(Candidates(peers(33), entries, (), 16_000))
    drawn = [peer.name for _ in range(4_000) for peer in view.sample(1)]
    outside = sum(name.startswith("entry") for name in drawn) / len(drawn)
    assert 0.035 < outside < 0.07  # 8 of the 4 pushes of each of 33 gateways, at least
    view.set_candidates(Candidates((), entries, (), 0))
    assert all(peer.name.startswith("entry") for peer in view.sample(5))
    view.set_candidates(Candidates())
    assert view.sample(5) == []


def test_a_draw_names_each_once_and_not_the_one_left_out():
    view = PartialView("peer0", Chance(9))
    view.set_candidates(Candidates(peers(4)))
    for _ in range(100):
        names = [peer.name for peer in view.sample(5, "peer2")]
        assert len(set(names)) == len(names)
        assert not {"peer0", "peer2"} & set(names)


def test_a_table_names_neighbours_and_entries_by_zone():
    made = table(cells(26))
    own = made.cells[0]
    known = candidates_from_table(made, own.name, peers(5), peers(2, "configured"))
    assert {peer.name for peer in known.neighbours} == {f"peer{n}" for n in range(5)} | {
        entry.name for entry in own.entries
    }
    assert sum(map(len, known.entry_gateways.values())) == 2 * 25
    assert len(known.entry_gateways) == 13
    assert known.gateway_count == 7 * 26
    assert candidates_from_table(None, own.name, peers(5), ()).entry_gateways == {}


# PullServer


def serving(count, whole_bytes=20_000):
    log, version = logged(count)
    document = StubDocument(version, whole_bytes)
    return PullServer(document, log, 0), document, log


def test_changes_are_served_where_the_log_reaches_and_the_whole_where_it_is_asked_for():
    served, _, _ = serving(70)
    assert len(served.answer(0, Pull(FLEET, Version(1, 68))).changes) == 3
    assert served.answer(SECOND, Pull(FLEET, Version(1, 2))) == ChangesAnswer(FLEET, ())
    part = served.answer(SECOND, Pull(FLEET, Version(1, 2), True))
    assert isinstance(part, PartAnswer)
    assert part.offset == 0
    assert part.size == 20_000
    assert served.answer(SECOND, Pull(FLEET, Version(1, 71))) == ChangesAnswer(FLEET, ())
    assert served.answer(SECOND, Pull(FLEET, Version(3, 0))) == ChangesAnswer(FLEET, ())


def fetch_whole(served, now, after_part=lambda: None):
    """(bytes taken, time it took, version) of one asker that waits where it is asked to."""
    begun, data, wanted = now, b"", NO_VERSION
    while True:
        answer = served.answer(now, Pull(FLEET, NO_VERSION, True, wanted, len(data)))
        if isinstance(answer, BusyAnswer):
            now += answer.wait
            continue
        assert answer.offset == len(data)
        assert len(answer.data) <= bounds.MAX_PART_BYTES
        wanted, data = answer.version, data + answer.data
        if len(data) == answer.size:
            return data, now - begun, wanted
        after_part()


def test_a_whole_document_stays_the_same_while_changes_come():
    served, document, log = serving(5)

    def change_it():
        change = change_from(document.version)
        document.apply(change)
        log.append(change)

    data, took, version = fetch_whole(served, 0, change_it)
    assert (data, took, version) == (document.data, 0, Version(1, 6))
    assert document.version > version
    # A later asker is given the same snapshot, and the changes since by the log.
    late = served.answer(20 * SECOND, Pull(FLEET, NO_VERSION, True))
    assert late.version == version
    assert log.since(version, 10_000)
    old = served.answer(100 * SECOND, Pull(FLEET, NO_VERSION, True))
    assert old.version == document.version
    assert len(served.snapshots) <= bounds.MAX_SNAPSHOTS


@pytest.mark.parametrize("whole_bytes", [20_000, 200_000])
def test_whole_documents_are_paced_however_large(whole_bytes):
    served, _, _ = serving(5, whole_bytes)
    now, count = 0, 8
    for _ in range(count):
        data, took, _ = fetch_whole(served, now)
        assert len(data) == whole_bytes
        now += took
    fetch_whole(served, now)
    assert now >= (count * whole_bytes - bounds.ANSWER_BURST_BYTES) * SECOND // bounds.ANSWER_BYTES_PER_SECOND
    assert now <= (count * whole_bytes + bounds.ANSWER_BURST_BYTES) * SECOND // bounds.ANSWER_BYTES_PER_SECOND


def test_asking_for_later_parts_again_and_again_is_paced_as_well():
    served, _, _ = serving(5)
    version, given = served.answer(0, Pull(FLEET, NO_VERSION, True)).version, 0
    for now in range(0, 60 * SECOND, SECOND // 20):
        answer = served.answer(now, Pull(FLEET, NO_VERSION, True, version, bounds.MAX_PART_BYTES))
        given += len(answer.data) if isinstance(answer, PartAnswer) else 0
    assert 60_000 < given <= 60 * bounds.ANSWER_BYTES_PER_SECOND + 2 * bounds.ANSWER_BURST_BYTES


def test_an_asker_that_began_with_a_snapshot_goes_on_with_it_when_it_is_no_longer_given_out():
    served, document, log = serving(5)
    first = served.answer(0, Pull(FLEET, NO_VERSION, True))
    later = bounds.SNAPSHOT_REUSE_TIME + SECOND
    change = change_from(document.version)
    document.apply(change)
    log.append(change)
    assert served.answer(later, Pull(FLEET, NO_VERSION, True)).version == change.version
    going_on = served.answer(later, Pull(FLEET, NO_VERSION, True, first.version, len(first.data)))
    assert (going_on.version, going_on.offset) == (first.version, len(first.data))


# What was heard


def test_a_propagation_says_who_is_behind_and_for_how_long_nobody_was():
    seen = VersionReports()
    assert seen.propagation(0, Version(1, 2)).agreed_for is None
    for second in range(5):
        seen.record(second * SECOND, "a", Version(1, 1 + (second > 1)))
        seen.record(second * SECOND, "b", Version(1, 2))
    propagation = seen.propagation(6 * SECOND, Version(1, 2))
    assert (propagation.reporters, propagation.behind, propagation.oldest) == (2, 0, Version(1, 2))
    assert propagation.agreed_for == 5 * SECOND  # a was behind in second 1 for the last time
    seen.record(7 * SECOND, "c", Version(1, 1))
    propagation = seen.propagation(7 * SECOND, Version(1, 2))
    assert (propagation.behind, propagation.agreed_for, propagation.oldest) == (1, None, Version(1, 1))
    assert seen.propagation(60 * SECOND, Version(1, 2)).reporters == 0


def test_sightings_are_bounded():
    seen = VersionReports()
    for number in range(5_000):
        seen.record(number, f"gateway{number}", Version(1, number))
    assert len(seen.reports) == bounds.MAX_REPORTERS
    assert len(seen.announcement_times) == bounds.MAX_REPORTED_VERSIONS
