"""Components of the dissemination: budget, log, partial view, pull server, version reports."""

from collections import Counter

import pytest
from cells_tables import cells, table
from dissemination_mesh import FLEET, StubDocument, Version, change_from

from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.dissemination import Candidates, Peer, bounds
from gaproute.shared.dissemination.cell_peers import candidates_from_table
from gaproute.shared.dissemination.messages import NO_VERSION, BusyAnswer, ChangesAnswer, PartAnswer, Pull
from gaproute.shared.dissemination.partial_view import PartialView
from gaproute.shared.dissemination.pull_server import PullServer
from gaproute.shared.dissemination.recent_changes import RecentChanges
from gaproute.shared.dissemination.version_reports import VersionReports
from gaproute.shared.token_bucket import TokenBucket
from gaproute.units import SECOND


def make_log(count, data=b"x" * 200):
    """A log of `count` changes from version 1.1 on, and the version to which they lead."""
    log, version = RecentChanges(), Version(1, 1)
    for _ in range(count):
        change = change_from(version, data)
        log.append(change)
        version = change.version
    return log, version


def make_peers(count, prefix="peer"):
    return tuple(Peer(f"{prefix}{number}", f"127.0.0.1:{number}") for number in range(count))


# TokenBucket


def test_a_token_bucket_grants_its_rate_and_one_burst():
    budget, spent = TokenBucket(100, 300, 0), 0
    for now in range(0, 10 * SECOND, SECOND // 50):
        while budget.take(now, 7):
            spent += 7
    assert 1250 <= spent <= 1300
    assert 0 < budget.wait_time(10 * SECOND, 50) <= SECOND // 2


# RecentChanges


def test_the_log_returns_the_changes_after_a_version_within_the_bytes():
    log, version = make_log(10)
    assert [change.version.number for change in log.changes_since(Version(1, 8), 10_000)] == [9, 10, 11]
    assert len(log.changes_since(Version(1, 1), 500)) == 2
    assert log.changes_since(version, 10_000) == ()
    assert log.changes_since(Version(1, 99), 10_000) == ()
    assert log.changes_since(NO_VERSION, 10_000) == ()


def test_the_log_is_bounded_and_cleared_by_a_gap():
    log, version = make_log(500)
    assert len(log.changes) == bounds.MAX_LOG_CHANGES
    assert log.leads_from(Version(1, version.number - bounds.MAX_LOG_CHANGES))
    assert not log.leads_from(Version(1, 5))
    log.append(change_from(Version(1, 900)))
    assert len(log.changes) == 1
    log, _ = make_log(50, b"x" * 8_000)
    assert log.stored_bytes <= bounds.MAX_LOG_BYTES


# PartialView


def test_a_view_is_bounded_and_spread_over_the_zones():
    view = PartialView("peer0", RandomGenerator(3))
    entries = {f"zone{zone}": make_peers(100 + zone * 50, f"zone{zone}-") for zone in range(13)}
    view.set_candidates(Candidates(make_peers(200), entries, make_peers(20, "configured"), 16_000))
    assert len(view.inside) == bounds.MAX_VIEW_NEIGHBOURS
    assert len(view.names) <= 64
    assert "peer0" not in view.names
    zones = Counter(name.split("-")[0] for name in view.names if name.startswith("zone"))
    assert len(zones) == 13
    assert max(zones.values()) - min(zones.values()) <= 1


def test_few_messages_leave_a_large_cell_and_all_messages_of_a_gateway_without_neighbours():
    entries = {"zone1": make_peers(1470, "entry")}
    view = PartialView("peer0", RandomGenerator(5))
    view.set_candidates(Candidates(make_peers(33), entries, (), 16_000))
    drawn = [peer.name for _ in range(4_000) for peer in view.sample(1)]
    outside = sum(name.startswith("entry") for name in drawn) / len(drawn)
    assert 0.035 < outside < 0.07  # at least 8 pushes, where each of 33 gateways sends 4
    view.set_candidates(Candidates((), entries, (), 0))
    assert all(peer.name.startswith("entry") for peer in view.sample(5))
    view.set_candidates(Candidates())
    assert view.sample(5) == []


def test_a_sample_has_each_peer_once_and_not_the_excluded_one():
    view = PartialView("peer0", RandomGenerator(9))
    view.set_candidates(Candidates(make_peers(4)))
    for _ in range(100):
        names = [peer.name for peer in view.sample(5, "peer2")]
        assert len(set(names)) == len(names)
        assert not {"peer0", "peer2"} & set(names)


def test_candidates_from_a_table_are_neighbours_and_entry_gateways_by_zone():
    cell_table = table(cells(26))
    own = cell_table.cells[0]
    known = candidates_from_table(cell_table, own.name, make_peers(5), make_peers(2, "configured"))
    assert {peer.name for peer in known.neighbours} == {f"peer{n}" for n in range(5)} | {
        entry.name for entry in own.entries
    }
    assert sum(map(len, known.entry_gateways.values())) == 2 * 25
    assert len(known.entry_gateways) == 13
    assert known.gateway_count == 7 * 26
    assert candidates_from_table(None, own.name, make_peers(5), ()).entry_gateways == {}


# PullServer


def make_pull_server(count, document_bytes=20_000):
    log, version = make_log(count)
    document = StubDocument(version, document_bytes)
    return PullServer(document, log, 0), document, log


def test_a_pull_is_answered_with_stored_changes_or_with_a_part_if_requested():
    server, _, _ = make_pull_server(70)
    assert len(server.answer(0, Pull(FLEET, Version(1, 68))).changes) == 3
    assert server.answer(SECOND, Pull(FLEET, Version(1, 2))) == ChangesAnswer(FLEET, ())
    part = server.answer(SECOND, Pull(FLEET, Version(1, 2), True))
    assert isinstance(part, PartAnswer)
    assert part.offset == 0
    assert part.size == 20_000
    assert server.answer(SECOND, Pull(FLEET, Version(1, 71))) == ChangesAnswer(FLEET, ())
    assert server.answer(SECOND, Pull(FLEET, Version(3, 0))) == ChangesAnswer(FLEET, ())


def fetch_document(server, now, after_part=lambda: None):
    """Fetches the complete document, waiting while the server is busy; returns (data, duration, version)."""
    start, data, target = now, b"", NO_VERSION
    while True:
        answer = server.answer(now, Pull(FLEET, NO_VERSION, True, target, len(data)))
        if isinstance(answer, BusyAnswer):
            now += answer.wait
            continue
        assert answer.offset == len(data)
        assert len(answer.data) <= bounds.MAX_PART_BYTES
        target, data = answer.version, data + answer.data
        if len(data) == answer.size:
            return data, now - start, target
        after_part()


def test_a_transfer_keeps_its_snapshot_while_changes_arrive():
    server, document, log = make_pull_server(5)

    def apply_change():
        change = change_from(document.version)
        document.apply(change)
        log.append(change)

    data, duration, version = fetch_document(server, 0, apply_change)
    assert (data, duration, version) == (document.data, 0, Version(1, 6))
    assert document.version > version
    # A later pull is answered from the same snapshot; the log has the changes since then.
    late = server.answer(20 * SECOND, Pull(FLEET, NO_VERSION, True))
    assert late.version == version
    assert log.changes_since(version, 10_000)
    after_reuse_time = server.answer(100 * SECOND, Pull(FLEET, NO_VERSION, True))
    assert after_reuse_time.version == document.version
    assert len(server.snapshots) <= bounds.MAX_SNAPSHOTS


@pytest.mark.parametrize("document_bytes", [20_000, 200_000])
def test_complete_documents_of_any_size_are_sent_within_the_budget(document_bytes):
    server, _, _ = make_pull_server(5, document_bytes)
    now, count = 0, 8
    for _ in range(count):
        data, duration, _ = fetch_document(server, now)
        assert len(data) == document_bytes
        now += duration
    fetch_document(server, now)
    assert (
        now >= (count * document_bytes - bounds.ANSWER_BURST_BYTES) * SECOND // bounds.ANSWER_BYTES_PER_SECOND
    )
    assert (
        now <= (count * document_bytes + bounds.ANSWER_BURST_BYTES) * SECOND // bounds.ANSWER_BYTES_PER_SECOND
    )


def test_repeated_pulls_of_a_later_part_stay_within_the_budget():
    server, _, _ = make_pull_server(5)
    version, sent_bytes = server.answer(0, Pull(FLEET, NO_VERSION, True)).version, 0
    for now in range(0, 60 * SECOND, SECOND // 20):
        answer = server.answer(now, Pull(FLEET, NO_VERSION, True, version, bounds.MAX_PART_BYTES))
        sent_bytes += len(answer.data) if isinstance(answer, PartAnswer) else 0
    assert 60_000 < sent_bytes <= 60 * bounds.ANSWER_BYTES_PER_SECOND + 2 * bounds.ANSWER_BURST_BYTES


def test_a_transfer_goes_on_with_its_snapshot_after_the_reuse_time():
    server, document, log = make_pull_server(5)
    first = server.answer(0, Pull(FLEET, NO_VERSION, True))
    later = bounds.SNAPSHOT_REUSE_TIME + SECOND
    change = change_from(document.version)
    document.apply(change)
    log.append(change)
    assert server.answer(later, Pull(FLEET, NO_VERSION, True)).version == change.version
    next_part = server.answer(later, Pull(FLEET, NO_VERSION, True, first.version, len(first.data)))
    assert (next_part.version, next_part.offset) == (first.version, len(first.data))


# VersionReports


def test_a_propagation_has_the_number_of_gateways_behind_and_how_long_there_was_none():
    version_reports = VersionReports()
    assert version_reports.propagation(0, Version(1, 2)).agreed_for is None
    for second in range(5):
        version_reports.record(second * SECOND, "a", Version(1, 1 + (second > 1)))
        version_reports.record(second * SECOND, "b", Version(1, 2))
    propagation = version_reports.propagation(6 * SECOND, Version(1, 2))
    assert (propagation.reporters, propagation.behind, propagation.oldest) == (2, 0, Version(1, 2))
    assert propagation.agreed_for == 5 * SECOND  # the last announcement of an older version was in second 1
    version_reports.record(7 * SECOND, "c", Version(1, 1))
    propagation = version_reports.propagation(7 * SECOND, Version(1, 2))
    assert (propagation.behind, propagation.agreed_for, propagation.oldest) == (1, None, Version(1, 1))
    assert version_reports.propagation(60 * SECOND, Version(1, 2)).reporters == 0


def test_version_reports_are_bounded():
    version_reports = VersionReports()
    for number in range(5_000):
        version_reports.record(number, f"gateway{number}", Version(1, number))
    assert len(version_reports.reports) == bounds.MAX_REPORTERS
    assert len(version_reports.announcement_times) == bounds.MAX_REPORTED_VERSIONS
