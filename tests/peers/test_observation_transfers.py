"""How the peer server sends observations: chunks, resumption, limits and protocol versions one apart."""

import pytest
from helpers import MILLI, SECOND, gateway, row

from gaproute.decisions.reports.cpu_budget import CpuBudget
from gaproute.decisions.reports.exchange_limits import MAX_CHUNK_OBSERVATIONS
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.peers import PeerServer, observation_wire
from gaproute.peers.observation_pb2 import Ask, Told


def request_observations(server, **fields):
    answers = []
    server.server.answer = lambda request, status, headers, body: answers.append((status, body))
    request = type(
        "Request",
        (),
        {"target": b"/lore", "method": b"POST", "body": Ask(version=2, **fields).SerializeToString()},
    )
    server.handle(request)
    ((status, body),) = answers
    return Told.FromString(body) if status == 200 else None


def refill_cpu_budget(server):
    server.cpu_budget = CpuBudget(server.loop.now())


@pytest.fixture
def server():
    loop = Loop()
    decisions = gateway(*[row(f"w{number}") for number in range(50)])
    for name in range(60):
        function = decisions.functions.find_or_add(f"f{name}", 4)
        function.answered_at = loop.now() - name * MILLI
        function.proven_at = {f"w{number}": function.answered_at for number in range(50)}
    server = PeerServer(loop, parse_address("127.0.0.1:0"), decisions, HostHistory(), ("t",))
    yield server
    server.close()
    loop.close()


def test_answers_of_adjacent_protocol_versions_are_decoded():
    older = Told(version=1)
    older.warm.add(worker="x", function="f", lanes=4, age_us=5)
    observations = SharedObservations()
    observation_wire.read_observations(
        observation_wire.decode_answer(older.SerializeToString()), SECOND, "g", observations
    )
    assert list(observations.by_subject) == [("warm", "x", "f")]
    newer = Told(version=3)
    newer.warm.add(worker="x", function="f", lanes=4, age_us=5)
    data = newer.SerializeToString() + b"\xfa\x01\x03abc"  # field 31, which is unknown to this version
    observation_wire.read_observations(observation_wire.decode_answer(data), SECOND, "g", observations)
    assert observations.rejections == {}
    assert observation_wire.decode_answer(Told(version=4).SerializeToString()) is None


def test_a_snapshot_is_sent_in_chunks_of_bounded_size(server):
    instances, cursor, chunks = set(), 0, 0
    while cursor or not chunks:
        refill_cpu_budget(server)
        answer = request_observations(server, cursor=cursor)
        assert len(answer.warm) <= MAX_CHUNK_OBSERVATIONS
        instances |= {(each.worker, each.function) for each in answer.warm}
        cursor, chunks = answer.next, chunks + 1
    assert len(instances) == 3000
    assert chunks >= 12


def test_peers_that_start_at_the_same_time_share_a_transfer_and_get_larger_ages_later(server):
    first, second = request_observations(server), None
    encoded = server.transfers.encoded_observations
    refill_cpu_budget(server)
    chunks = server.transfers.transfers[1].chunks
    chunks[0] = chunks[0]._replace(built_at=server.loop.now() - 100 * MILLI)
    second = request_observations(server)
    assert server.transfers.encoded_observations == encoded
    assert second.next == first.next
    assert len(server.transfers.transfers) == 1
    assert [each.worker for each in second.warm] == [each.worker for each in first.warm]
    assert second.held_us >= 100_000 > first.held_us
    observations = SharedObservations()
    observation_wire.read_observations(second, 10 * SECOND, "g", observations)
    assert {each.observed_at for each in observations.by_subject.values()} == {
        10 * SECOND - (each.age_us + second.held_us) * 1000 for each in second.warm
    }


def test_a_cursor_of_an_unknown_transfer_starts_a_new_transfer(server):
    answer = request_observations(server, cursor=77 << 20)
    assert answer.warm
    assert answer.next >> 20 == 1


def test_a_snapshot_continues_after_functions_and_hosts_are_removed(server):
    first = request_observations(server)
    server.transfers.gateway.functions.by_name.clear()
    server.transfers.gateway.update_hosts(2 * SECOND, [row("w0")], complete=True)
    refill_cpu_budget(server)
    assert not request_observations(server, cursor=first.next).next


def test_a_mark_of_another_run_is_answered_with_a_complete_snapshot(server):
    answer = request_observations(server, life=server.transfers.run_id ^ 1, mark=1 << 62)
    assert answer.warm
    assert answer.life == server.transfers.run_id
    refill_cpu_budget(server)
    assert not request_observations(server, life=server.transfers.run_id, mark=1 << 62).warm


def test_the_number_and_size_of_stored_transfers_are_bounded(server):
    for number in range(40):
        refill_cpu_budget(server)
        request_observations(server, life=server.transfers.run_id, mark=number + 1)
    assert len(server.transfers.transfers) == 16
    for transfer in server.transfers.transfers.values():
        transfer.chunk_bytes = 3 << 20
    refill_cpu_budget(server)
    request_observations(server, life=server.transfers.run_id, mark=41)
    assert len(server.transfers.transfers) == 2
