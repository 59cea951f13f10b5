"""What a gateway refuses, takes and asks for: one or a few gateways, message by message."""

import pytest
from dissemination_mesh import FLEET, Mesh, StubDocument, Version, change_from, digest_of

from gaproute.shared.dissemination import Change, DocumentError, Peer, bounds
from gaproute.shared.dissemination.assembly import DocumentAssembly
from gaproute.shared.dissemination.messages import (
    NO_VERSION,
    Announcement,
    BusyAnswer,
    PartAnswer,
    Pull,
    Push,
)
from gaproute.shared.dissemination.replica import Replica
from gaproute.units import SECOND

HELD, NEXT = Version(1, 1), Version(1, 2)


# What is refused


def test_what_is_lower_of_another_fleet_contradicting_or_no_message_is_refused_and_counted():
    mesh = Mesh(2)
    mesh.publish(0)
    mesh.settle(5)
    node, peer, held = mesh.nodes[0], mesh.peers[1], Version(1, 2)
    for message, reason in (
        (Push(FLEET, (Change(NO_VERSION, Version(1, 0), 0, b""),)), "lower version"),
        (Push(FLEET, (Change(Version(1, 1), held, 99, b""),)), "contradiction"),
        (Announcement(FLEET, held, 99), "contradiction"),
        (Announcement("south", Version(9, 9), 0), "other fleet"),
        (Push("south", (Change(held, Version(1, 3), 0, b""),)), "other fleet"),
        (None, "not understood"),
        (Pull(FLEET, held), "not understood"),
    ):
        before = node.rejections[reason]
        assert node.receive(mesh.now, peer, message) == []
        assert node.rejections[reason] == before + 1
        assert node.document.version == held
    assert node.answer_pull(mesh.now, Pull("south", held)) is None
    assert node.answer_pull(mesh.now, b"") is None
    mesh.check()


def test_a_change_that_does_not_lead_where_it_says_is_refused_and_the_whole_is_fetched():
    mesh = Mesh(2)
    mesh.publish(0)
    mesh.flight.clear()
    wrong = Change(Version(1, 1), Version(1, 2), 1234, b"")
    sends = mesh.nodes[1].receive(mesh.now, mesh.peers[0], Push(FLEET, (wrong,)))
    assert mesh.nodes[1].rejections["digest"] == 1
    assert sends[0].message.wants_complete_document
    mesh.send(1, sends)
    mesh.settle()
    assert mesh.versions() == [Version(1, 2)] * 2
    assert not mesh.nodes[1].replica.needs_complete_document


def test_two_contradicting_writers_are_notified_and_a_higher_version_resolves_it():
    mesh = Mesh(3)
    mesh.nodes[1].document.version = Version(1, 5)
    mesh.nodes[1].document.digest = digest_of(Version(1, 5), salt=7)
    mesh.nodes[0].document.version = Version(1, 5)
    mesh.nodes[0].document.digest = mesh.nodes[2].document.digest = digest_of(Version(1, 5))
    mesh.nodes[2].document.version = Version(1, 5)
    mesh.settle(5)
    assert mesh.nodes[0].rejections["contradiction"]
    assert mesh.nodes[1].rejections["contradiction"]
    mesh.publish(0)
    mesh.settle(5)
    assert len({(node.document.version, node.document.digest) for node in mesh.nodes}) == 1


def test_a_publisher_that_is_not_at_the_base_is_notified():
    mesh = Mesh(1)
    for change in (change_from(Version(1, 0)), Change(Version(1, 1), Version(1, 1), 0, b"")):
        with pytest.raises(DocumentError):
            mesh.nodes[0].publish(mesh.now, change)
    with pytest.raises(DocumentError):
        mesh.nodes[0].publish_document(mesh.now, Version(1, 1), 0, b"")
    assert mesh.versions() == [Version(1, 1)]


def test_strangers_and_absurd_versions_cost_a_bounded_number_of_messages():
    mesh = Mesh(2)
    node, sent, read = mesh.nodes[0], 0, 0
    for number in range(20_000):
        mesh.now += SECOND // 2_000
        name = f"stranger{number}"
        if not node.admits(mesh.now, name):
            continue
        read += 1
        absurd = Announcement(FLEET, Version(1 << 60, number), number)
        sent += len(node.receive(mesh.now, Peer(name, "127.0.0.1:1"), absurd))
        if mesh.now >= node.due:
            sent += len(node.tick(mesh.now))
        mesh.check()
    assert read <= 11 * bounds.UNKNOWN_SENDER_MESSAGES_PER_SECOND + 100
    assert node.message_sender.sent_bytes <= 11 * bounds.MESSAGE_BYTES_PER_SECOND + bounds.MESSAGE_BURST_BYTES
    assert node.rejections["flood"] >= 18_000
    mesh.publish(1)
    mesh.settle(10)
    assert mesh.versions() == [Version(1, 2)] * 2


# Taking, in detail


def chain(count, base=HELD):
    """So many changes that follow one another."""
    found = []
    for _ in range(count):
        found.append(change_from(found[-1].version if found else base))
    return tuple(found)


def test_changes_of_which_the_first_are_held_are_taken_from_there_on():
    replica, changes = Replica(StubDocument(Version(1, 1))), chain(4)
    assert replica.apply_changes(changes[:2]) == changes[:2]
    assert replica.apply_changes(changes) == changes[2:]
    assert replica.document.version == Version(1, 5)
    assert replica.apply_changes(changes) == ()
    assert replica.apply_changes(chain(1, Version(1, 9))) == ()
    assert not replica.rejections
    assert not replica.needs_complete_document


def test_a_whole_document_that_is_not_above_what_is_held_is_refused():
    document = StubDocument(Version(1, 5))
    replica = Replica(document)
    for version in (Version(1, 5), Version(1, 4), Version(0, 9)):
        with pytest.raises(DocumentError, match="not above"):
            replica.replace(version, digest_of(version), document.data)
    replica.replace(Version(2, 0), digest_of(Version(2, 0)), document.data)
    assert document.version == Version(2, 0)


def part(offset, data=b"abcd", size=10, version=NEXT, digest=5):
    return PartAnswer(FLEET, version, digest, size, offset, data)


def test_parts_are_taken_in_order_and_never_beyond_the_size():
    assembly = DocumentAssembly()
    assert not assembly.add_part(part(4))
    assert assembly.add_part(part(0))
    assert not assembly.is_complete
    assert not assembly.add_part(part(0))
    assert not assembly.add_part(part(8))
    assert assembly.add_part(part(4))
    assert not assembly.add_part(part(8))
    assert assembly.add_part(part(8, b"ij"))
    assert assembly.is_complete
    assert assembly.data == b"abcdabcdij"
    assert assembly.add_part(part(0, version=Version(1, 3)))
    assert len(assembly.data) == 4
    assert not assembly.add_part(part(4, digest=6, version=Version(1, 3)))
    assert not assembly.add_part(part(0, size=0))
    assert not assembly.add_part(part(0, b""))
    assert not assembly.add_part(part(0, size=bounds.MAX_DOCUMENT_BYTES + 1))


# Asking, in detail


def test_one_that_is_a_little_behind_answers_every_announcement_of_the_newer_version():
    mesh = Mesh(4)
    node, newer = mesh.nodes[0], Announcement(FLEET, Version(1, 2), digest_of(Version(1, 2)))
    for peer in mesh.peers[1:]:
        (send,) = node.receive(mesh.now, peer, newer)
        assert send == (peer, Announcement(FLEET, Version(1, 1), digest_of(Version(1, 1))))


def test_who_announces_again_instead_of_pushing_is_not_answered_without_end():
    mesh = Mesh(3)
    node, newer = mesh.nodes[0], Announcement(FLEET, Version(1, 2), digest_of(Version(1, 2)))
    assert node.receive(mesh.now, mesh.peers[1], newer)
    assert node.receive(mesh.now, mesh.peers[2], newer)
    assert node.receive(mesh.now, mesh.peers[2], newer) == []
    (pull,) = node.receive(mesh.now, mesh.peers[1], newer)  # the source holds no changes: by an exchange
    assert isinstance(pull.message, Pull)
    assert node.receive(mesh.now, mesh.peers[1], newer) == []


def test_a_pull_that_failed_is_asked_again_of_another_after_a_pause():
    mesh = Mesh(3)
    node, far = mesh.nodes[0], Announcement(FLEET, Version(1, 90), 0)
    (pull,) = node.receive(mesh.now, mesh.peers[1], far)
    assert pull.to == mesh.peers[1]
    assert pull.message.wants_complete_document
    assert node.receive(mesh.now, mesh.peers[2], far) == []
    assert node.receive_pull_answer(mesh.now, mesh.peers[1], None) == []
    assert node.fetch.due == mesh.now + bounds.FAILURE_PAUSE
    (again,) = [send for send in node.tick(node.fetch.due) if isinstance(send.message, Pull)]
    assert again.to == mesh.peers[2]
    # Too late: another peer is asked by now.
    assert node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 0)) == []
    assert node.fetch.source == mesh.peers[2]
    assert not node.fetch.is_paused


def test_who_is_busy_is_left_for_another_and_asked_again_when_there_is_none():
    mesh = Mesh(3)
    node, far = mesh.nodes[0], Announcement(FLEET, Version(1, 90), 0)
    node.receive(mesh.now, mesh.peers[1], far)
    node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 3 * SECOND))
    assert node.fetch.due == mesh.now + 3 * SECOND
    assert node.fetch.source == mesh.peers[1]
    (pull,) = [send for send in node.tick(node.fetch.due) if isinstance(send.message, Pull)]
    assert pull.to == mesh.peers[1]
    node.receive(mesh.now, mesh.peers[2], far)
    node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 1 << 62))
    assert node.fetch.source == mesh.peers[2]
    assert node.fetch.due == mesh.now + bounds.BUSY_PAUSE
    assert node.fetch.failures == 0


def test_amid_the_parts_the_same_source_is_asked_again_and_each_part_has_its_time():
    mesh = Mesh(3, versions=[Version(1, 1), Version(1, 90), Version(1, 90)], whole_bytes=30_000)
    node, source = mesh.nodes[0], mesh.peers[1]
    (pull,) = node.receive(mesh.now, source, Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive(mesh.now, mesh.peers[2], Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    for _ in range(3):  # of four parts; after each one the next answer is lost once
        mesh.now += bounds.EXCHANGE_TIMEOUT - 1
        (pull,) = node.receive_pull_answer(
            mesh.now, source, mesh.nodes[1].answer_pull(mesh.now, pull.message)
        )
        assert node.fetch.due == mesh.now + bounds.EXCHANGE_TIMEOUT
        node.receive_pull_answer(mesh.now, source, None)
        mesh.now = node.fetch.due
        (pull,) = [send for send in node.tick(mesh.now) if isinstance(send.message, Pull)]
        assert pull.to == source
        assert pull.message.offset == len(node.assembly.data) > 0
    node.receive_pull_answer(mesh.now, source, mesh.nodes[1].answer_pull(mesh.now, pull.message))
    assert node.document.version == Version(1, 90)


def test_a_source_that_fails_amid_the_parts_for_good_is_left():
    mesh = Mesh(3, versions=[Version(1, 1), Version(1, 90), Version(1, 90)], whole_bytes=30_000)
    node, source = mesh.nodes[0], mesh.peers[1]
    (pull,) = node.receive(mesh.now, source, Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive(mesh.now, mesh.peers[2], Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive_pull_answer(mesh.now, source, mesh.nodes[1].answer_pull(mesh.now, pull.message))
    asked = []
    for _ in range(bounds.MAX_PART_FAILURES + 1):
        node.receive_pull_answer(mesh.now, node.fetch.source, None)
        mesh.now = node.fetch.due
        asked += [send.to for send in node.tick(mesh.now) if isinstance(send.message, Pull)]
    assert asked == [source] * bounds.MAX_PART_FAILURES + [mesh.peers[2]]
