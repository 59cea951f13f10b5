"""How whole documents and differences are given and fetched at a pace: one asker after the other, a part a
second, by invitation, within the bytes of a second."""

from dissemination_mesh import FLEET, Mesh, StubDocument, Version, change_from, digest_of

from gaproute.shared.control_budget import LIMIT, MOST, ControlBudget, ControlPart
from gaproute.shared.dissemination import Change, bounds
from gaproute.shared.dissemination.bounds import SECOND
from gaproute.shared.dissemination.changelog import Changelog
from gaproute.shared.dissemination.messages import NOTHING, Announcement, Busy, Part, Pull, size
from gaproute.shared.dissemination.serving import PART_COST, Serving

HELD, FAR = Version(1, 1), Version(1, 900)
NEWER = Announcement(FLEET, FAR, digest_of(FAR))


def serving(version=FAR, whole_bytes=20_000):
    return Serving(StubDocument(version, whole_bytes), Changelog(), 0, ControlBudget())


def paced(held, wanted=NOTHING, place=0):
    return Pull(FLEET, held, False, wanted, place, difference=True)


def test_a_part_with_its_headers_is_within_what_may_be_served_in_a_second():
    served = serving()
    assert size(served.answer(0, paced(NOTHING))) <= PART_COST == MOST[ControlPart.SERVING] < LIMIT


def test_a_difference_is_given_and_the_whole_to_one_who_holds_nothing():
    served = serving()
    part = served.answer(0, paced(HELD))
    assert isinstance(part, Part) and part.base == HELD and part.size < 3_000
    whole = serving().answer(0, paced(NOTHING))
    assert whole.base == NOTHING and whole.size == 20_000


def test_one_part_a_second_to_one_asker_and_the_others_are_told_when_to_come():
    served, now, given, refused = serving(), 0, [], 0
    wanted, place = NOTHING, 0
    while now < 60 * SECOND:
        answer = served.answer(now, paced(NOTHING, wanted, place))
        if isinstance(answer, Part):
            assert answer.place == place
            given.append((now, size(answer)))
            wanted, place = answer.version, place + len(answer.data)
            if place == answer.size:
                break
        other = served.answer(now + 1, paced(HELD))
        assert isinstance(other, Busy) and other.wait >= bounds.BUSY_WAIT
        refused += 1
        now += bounds.PART_INTERVAL
    assert place == 20_000 and len(given) <= 25 and refused > 15
    for when, _ in given:
        assert sum(cost for other, cost in given if when <= other < when + SECOND) <= PART_COST


def test_a_part_is_smaller_where_the_second_has_less_room():
    served = serving()
    served.control.spend(0, ControlPart.TABLE, 2_000)
    part = served.answer(0, paced(NOTHING))
    assert bounds.LEAST_PART <= len(part.data) < bounds.PART_BYTES
    served = serving()
    served.control.spend(0, ControlPart.TABLE, 3_000)
    assert isinstance(served.answer(0, paced(NOTHING)), Busy)
    assert not served.snapshots  # nothing was encoded


def test_one_gateway_at_a_time_is_invited_and_none_while_another_is_served():
    served = serving()
    assert served.invites(0, "one") and served.invites(1, "one") and not served.invites(2, "two")
    assert served.invites(bounds.INVITATION + SECOND, "two")
    first = served.answer(bounds.INVITATION + SECOND, paced(NOTHING))
    assert first.place == 0 and not served.invites(2 * SECOND, "three")
    assert not served.invites(4 * SECOND, "three")  # what was granted is not paid off
    assert served.invites(60 * SECOND, "three")


def test_room_is_kept_for_a_table_once_somebody_far_behind_was_heard():
    served = serving()
    served.control.spend(0, ControlPart.TABLE, 3_000)
    before = served.control.room(0, ControlPart.TABLE)
    assert not served.invites(0, "one")
    assert served.control.room(0, ControlPart.TABLE) < before
    assert served.invites(SECOND, "one")


def test_many_that_are_far_behind_are_served_one_after_the_other_within_the_bytes_of_a_second():
    mesh = Mesh(12, versions=[FAR], whole_bytes=9_000)
    mesh.nodes[0].copy.log.append(Change(Version(1, 899), FAR, digest_of(FAR), b""))
    mesh.settle(60)
    assert mesh.versions() == [FAR] * 12
    assert max(node.serving.busy for node in mesh.nodes) <= 12
    assert mesh.nodes[0].serving.bytes < 60 * bounds.SERVE_RATE


def test_several_pushes_that_are_lacking_are_asked_for_at_a_pace():
    mesh = Mesh(2, versions=[HELD, HELD])
    for _ in range(12):
        mesh.publish(0)
    mesh.flight.clear()
    behind, begun = mesh.nodes[1], mesh.now
    newest = mesh.nodes[0].document
    mesh.send(1, behind.hear(mesh.now, mesh.peers[0], Announcement(FLEET, newest.version, newest.digest)))
    while behind.document.version < newest.version:
        while mesh.flight:
            mesh.deliver(0)
        mesh.pass_time(SECOND // 50)
        assert mesh.now - begun < 10 * SECOND
    assert mesh.now - begun >= bounds.PUSH_INTERVAL
    assert behind.document.version == newest.version


def test_a_difference_that_does_not_fit_is_refused_once_and_the_whole_is_fetched():
    mesh = Mesh(2, versions=[HELD, FAR])
    node, source = mesh.nodes[0], mesh.peers[1]
    node.document.digest = 77  # another document of the same version
    node.document.apply_difference = mesh_refusal
    mesh.send(0, node.hear(mesh.now, source, NEWER))
    mesh.settle(40)
    assert node.document.version == FAR and not node.copy.needs_whole
    assert node.refused["digest"] == 1


def mesh_refusal(change):
    """A difference that leads from another document to the digest told."""
    StubDocument(HELD).apply_difference(Change(change.base, change.version, 1, change.data))


def test_a_source_that_refuses_the_paced_pull_is_asked_as_by_an_older_gateway():
    mesh = Mesh(2, versions=[HELD, FAR])
    node, source = mesh.nodes[0], mesh.peers[1]
    pulls = []
    node.hear(mesh.now, source, NEWER)
    for _ in range(60):
        sends = node.hear(mesh.now, source, NEWER) if node.fetching.source else []
        if node.fetching.source is None:
            break
        for send in sends:
            if isinstance(send.message, Pull):
                pulls.append(send.message)
                if not send.message.difference:
                    break
                node.pulled(mesh.now, source, None)
        if pulls and not pulls[-1].difference:
            break
        mesh.now = max(mesh.now + 1, node.fetching.due or 0)
        node.tick(mesh.now)
    assert [pull.difference for pull in pulls] == [True] * bounds.PACED_TRIES + [False]
    assert pulls[-1].whole
    part = Part(FLEET, FAR, digest_of(FAR), 9_000, 0, node.document.data[:8_192])
    assert node.pulled(mesh.now, source, part) == [] and node.assembly.begun


def test_an_older_gateway_is_given_the_changes_and_large_parts_within_the_budget():
    served = serving()
    version = FAR
    change = change_from(version)
    served.document.apply(change)
    served.log.append(change)
    assert served.answer(0, Pull(FLEET, version)).changes == (change,)
    first = served.answer(SECOND, Pull(FLEET, HELD, True))
    assert len(first.data) == bounds.OLDER_PART_BYTES and first.base == NOTHING
    second = served.answer(SECOND, Pull(FLEET, HELD, True, first.version, len(first.data)))
    assert second.place == len(first.data)
    assert isinstance(served.answer(2 * SECOND, Pull(FLEET, HELD, True)), Busy)
