"""What a gateway rejects, applies and requests: one or a few gateways, message by message."""

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

CURRENT, NEXT = Version(1, 1), Version(1, 2)


# Rejections


def test_outdated_foreign_contradicting_and_undecodable_messages_are_rejected_and_counted():
    mesh = Mesh(2)
    mesh.publish(0)
    mesh.settle(5)
    node, peer, current = mesh.nodes[0], mesh.peers[1], Version(1, 2)
    for message, reason in (
        (Push(FLEET, (Change(NO_VERSION, Version(1, 0), 0, b""),)), "lower version"),
        (Push(FLEET, (Change(Version(1, 1), current, 99, b""),)), "contradiction"),
        (Announcement(FLEET, current, 99), "contradiction"),
        (Announcement("south", Version(9, 9), 0), "other fleet"),
        (Push("south", (Change(current, Version(1, 3), 0, b""),)), "other fleet"),
        (None, "not understood"),
        (Pull(FLEET, current), "not understood"),
    ):
        before = node.rejections[reason]
        assert node.receive(mesh.now, peer, message) == []
        assert node.rejections[reason] == before + 1
        assert node.document.version == current
    assert node.answer_pull(mesh.now, Pull("south", current)) is None
    assert node.answer_pull(mesh.now, b"") is None
    mesh.check()


def test_after_a_change_with_a_wrong_digest_the_complete_document_is_fetched():
    mesh = Mesh(2)
    mesh.publish(0)
    mesh.in_flight.clear()
    change = Change(Version(1, 1), Version(1, 2), 1234, b"")
    sends = mesh.nodes[1].receive(mesh.now, mesh.peers[0], Push(FLEET, (change,)))
    assert mesh.nodes[1].rejections["digest"] == 1
    assert sends[0].message.wants_complete_document
    mesh.send(1, sends)
    mesh.settle()
    assert mesh.versions() == [Version(1, 2)] * 2
    assert not mesh.nodes[1].replica.needs_complete_document


def test_contradicting_documents_of_one_version_are_counted_until_a_newer_version_replaces_them():
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


def test_publishing_what_does_not_follow_the_current_version_raises_an_error():
    mesh = Mesh(1)
    for change in (change_from(Version(1, 0)), Change(Version(1, 1), Version(1, 1), 0, b"")):
        with pytest.raises(DocumentError):
            mesh.nodes[0].publish(mesh.now, change)
    with pytest.raises(DocumentError):
        mesh.nodes[0].publish_document(mesh.now, Version(1, 1), 0, b"")
    assert mesh.versions() == [Version(1, 1)]


def test_unknown_senders_with_absurd_versions_cause_a_bounded_number_of_messages():
    mesh = Mesh(2)
    node, sent, admitted = mesh.nodes[0], 0, 0
    for number in range(20_000):
        mesh.now += SECOND // 2_000
        name = f"stranger{number}"
        if not node.admits(mesh.now, name):
            continue
        admitted += 1
        announcement = Announcement(FLEET, Version(1 << 60, number), number)
        sent += len(node.receive(mesh.now, Peer(name, "127.0.0.1:1"), announcement))
        if mesh.now >= node.due:
            sent += len(node.tick(mesh.now))
        mesh.check()
    assert admitted <= 11 * bounds.UNKNOWN_SENDER_MESSAGES_PER_SECOND + 100
    assert node.message_sender.sent_bytes <= 11 * bounds.MESSAGE_BYTES_PER_SECOND + bounds.MESSAGE_BURST_BYTES
    assert node.rejections["flood"] >= 18_000
    mesh.publish(1)
    mesh.settle(10)
    assert mesh.versions() == [Version(1, 2)] * 2


# Applying changes and adding parts


def chain(count, base=CURRENT):
    """`count` consecutive changes from the version `base` on."""
    changes = []
    for _ in range(count):
        changes.append(change_from(changes[-1].version if changes else base))
    return tuple(changes)


def test_changes_are_applied_from_the_current_version_on():
    replica, changes = Replica(StubDocument(Version(1, 1))), chain(4)
    assert replica.apply_changes(changes[:2]) == changes[:2]
    assert replica.apply_changes(changes) == changes[2:]
    assert replica.document.version == Version(1, 5)
    assert replica.apply_changes(changes) == ()
    assert replica.apply_changes(chain(1, Version(1, 9))) == ()
    assert not replica.rejections
    assert not replica.needs_complete_document


def test_a_complete_document_that_is_not_newer_is_rejected():
    document = StubDocument(Version(1, 5))
    replica = Replica(document)
    for version in (Version(1, 5), Version(1, 4), Version(0, 9)):
        with pytest.raises(DocumentError, match="not above"):
            replica.replace(version, digest_of(version), document.data)
    replica.replace(Version(2, 0), digest_of(Version(2, 0)), document.data)
    assert document.version == Version(2, 0)


def part(offset, data=b"abcd", size=10, version=NEXT, digest=5):
    return PartAnswer(FLEET, version, digest, size, offset, data)


def test_parts_are_added_only_in_order_and_within_the_size():
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


# Requests


def test_a_gateway_one_version_behind_answers_the_announcement_of_each_peer():
    mesh = Mesh(4)
    node, newer = mesh.nodes[0], Announcement(FLEET, Version(1, 2), digest_of(Version(1, 2)))
    for peer in mesh.peers[1:]:
        (send,) = node.receive(mesh.now, peer, newer)
        assert send == (peer, Announcement(FLEET, Version(1, 1), digest_of(Version(1, 1))))


def test_repeated_announcements_instead_of_pushes_are_not_answered_without_end():
    mesh = Mesh(3)
    node, newer = mesh.nodes[0], Announcement(FLEET, Version(1, 2), digest_of(Version(1, 2)))
    assert node.receive(mesh.now, mesh.peers[1], newer)
    assert node.receive(mesh.now, mesh.peers[2], newer)
    assert node.receive(mesh.now, mesh.peers[2], newer) == []
    (pull,) = node.receive(
        mesh.now, mesh.peers[1], newer
    )  # the source did not push, so it is asked by an exchange
    assert isinstance(pull.message, Pull)
    assert node.receive(mesh.now, mesh.peers[1], newer) == []


def test_after_a_failed_pull_another_source_is_asked_after_a_pause():
    mesh = Mesh(3)
    node, far_newer = mesh.nodes[0], Announcement(FLEET, Version(1, 90), 0)
    (pull,) = node.receive(mesh.now, mesh.peers[1], far_newer)
    assert pull.to == mesh.peers[1]
    assert pull.message.wants_complete_document
    assert node.receive(mesh.now, mesh.peers[2], far_newer) == []
    assert node.receive_pull_answer(mesh.now, mesh.peers[1], None) == []
    assert node.fetch.due == mesh.now + bounds.FAILURE_PAUSE
    (again,) = [send for send in node.tick(node.fetch.due) if isinstance(send.message, Pull)]
    assert again.to == mesh.peers[2]
    # This answer is too late, as another source is asked by now.
    assert node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 0)) == []
    assert node.fetch.source == mesh.peers[2]
    assert not node.fetch.is_paused


def test_a_busy_source_is_asked_again_later_or_replaced_by_another():
    mesh = Mesh(3)
    node, far_newer = mesh.nodes[0], Announcement(FLEET, Version(1, 90), 0)
    node.receive(mesh.now, mesh.peers[1], far_newer)
    node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 3 * SECOND))
    assert node.fetch.due == mesh.now + 3 * SECOND
    assert node.fetch.source == mesh.peers[1]
    (pull,) = [send for send in node.tick(node.fetch.due) if isinstance(send.message, Pull)]
    assert pull.to == mesh.peers[1]
    node.receive(mesh.now, mesh.peers[2], far_newer)
    node.receive_pull_answer(mesh.now, mesh.peers[1], BusyAnswer(FLEET, 1 << 62))
    assert node.fetch.source == mesh.peers[2]
    assert node.fetch.due == mesh.now + bounds.BUSY_PAUSE
    assert node.fetch.failures == 0


def test_between_parts_the_same_source_is_asked_again_and_each_part_has_a_full_timeout():
    mesh = Mesh(3, versions=[Version(1, 1), Version(1, 90), Version(1, 90)], whole_bytes=30_000)
    node, source = mesh.nodes[0], mesh.peers[1]
    (pull,) = node.receive(mesh.now, source, Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive(mesh.now, mesh.peers[2], Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    for _ in range(3):  # the first three of four parts; after each one, the next answer is lost once
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


def test_a_source_that_keeps_failing_between_parts_is_replaced():
    mesh = Mesh(3, versions=[Version(1, 1), Version(1, 90), Version(1, 90)], whole_bytes=30_000)
    node, source = mesh.nodes[0], mesh.peers[1]
    (pull,) = node.receive(mesh.now, source, Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive(mesh.now, mesh.peers[2], Announcement(FLEET, Version(1, 90), digest_of(Version(1, 90))))
    node.receive_pull_answer(mesh.now, source, mesh.nodes[1].answer_pull(mesh.now, pull.message))
    asked_peers = []
    for _ in range(bounds.MAX_PART_FAILURES + 1):
        node.receive_pull_answer(mesh.now, node.fetch.source, None)
        mesh.now = node.fetch.due
        asked_peers += [send.to for send in node.tick(mesh.now) if isinstance(send.message, Pull)]
    assert asked_peers == [source] * bounds.MAX_PART_FAILURES + [mesh.peers[2]]
