"""What an operator is told of a running gateway, over HTTP."""

import msgspec

from gaproute.connections.descriptors import descriptors
from gaproute.http1 import Server
from gaproute.shared.leases.operator_requests import decode_command

MILLI = 1_000_000


def status(gate):
    counts, others, connections, hosts = gate.record.snapshot(), gate.others, gate.connections, gate.hosts
    server, writer, client = others.peer_server, others.observation_writer, others.observation_client
    transport = others.membership_transport
    return {
        "name": gate.configuration.name,
        "stopping": gate.stopping,
        "ready": gate.ready(),
        "up_ms": (gate.loop.now() - gate.started) // MILLI,
        "held": len(gate.core.in_flight),
        "late_turns": gate.loop.late_turns,
        "counts": counts,
        "clients": {
            "connections": connections.client_count,
            "most": connections.admission.max_connections,
            "parked": connections.parked_count,
            "displaced": connections.evicted,
            "turned_away": connections.rejected,
            "idle_ended": connections.expired,
            "descriptors": descriptors(),
            "kept_back": connections.admission.reserved_descriptors,
        },
        "connections": {"opened": hosts.opened, "reused": hosts.reused, "raced": hosts.reuse_races},
        "gateways": transport.membership.live_count() if transport else None,
        "cells": gate.cells and gate.cells.status(),
        "weak_word": others.gossip and others.gossip.node.status(gate.loop.now()),
        "learnt": {
            "facts": len(others.observations.by_subject),
            "refused": others.observations.rejected(),
            "peers": client.state if client else {},
            "booked": client.hints_taken if client else 0,
            "right": sum(each.hints.right for each in decisions(gate)),
            "wrong": sum(each.hints.wrong for each in decisions(gate)),
        },
        "telling": server
        and {"facts": server.transfers.encoded, "put_off": server.put_off, "cpu_ms": server.spent / MILLI},
        "memory": writer
        and {
            "written": writer.store.written,
            "failed": writer.store.failed,
            "cpu_ms": writer.spent / MILLI,
            "longest_ms": writer.longest / MILLI,
        },
    }


def decisions(gate):
    """The decisions of the whole fleet, or of each cell known."""
    return [gate.core.gateway] if gate.cells is None else gate.cells.gateways()


def host_table(gate):
    relays = gate.record.snapshot().get("relay", {})
    told = []
    for name, row in sorted(gate.rows.items()):
        host = gate.hosts.hosts.get(name)
        told.append(
            {
                "name": name,
                "address": row.address,
                "state": row.listed.state.value,
                "capacity": row.listed.capacity,
                "connections": len(host.open) if host else 0,
                "relays": relays.get(name, {}),
            }
        )
    return told


def knowledge(gate):
    """Copies that are believed to stand, the latest use first, with what speaks for each: an answer, a task
    sent there, or who told of it; `tried`: whether that was followed yet."""
    now, told = gate.loop.now(), []
    for name, function in (pair for each in decisions(gate) for pair in each.functions_by_name.items()):
        for tried, table in ((True, function.last_used), (False, function.hinted_at)):
            for worker, seen in table.items():
                observation = gate.others.observations.by_subject.get(("warm", worker, name))
                told.append(
                    {
                        "worker": worker,
                        "function": name,
                        "age_ms": (now - seen) // MILLI,
                        "tried": tried,
                        "by": "an answer"
                        if worker in function.proven_at
                        else observation.origin
                        if observation
                        else "a task sent",
                    }
                )
    return sorted(told, key=lambda each: each["age_ms"])


def peer_table(gate):
    """The gateways that are known: membership's view, and what each told at the start."""
    learnt = gate.others.observation_client.state if gate.others.observation_client else {}
    transport = gate.others.membership_transport
    rows = transport.table() if transport else [{"name": name, "state": None} for name in learnt]
    return [row | {"learnt": learnt.get(row["name"])} for row in rows]


def leases(gate):
    """The leases of this gateway, and its part in the Raft group."""
    return gate.others.leases and gate.others.leases.table()


def events(gate):
    return [{"what": what, **told} for what, told in gate.record.events]


TABLES = {
    b"/status": status,
    b"/hosts": host_table,
    b"/knows": knowledge,
    b"/peers": peer_table,
    b"/permits": leases,
    b"/events": events,
}


class Operator:
    """What the command line reads. Errors: OSError where the address cannot be listened on."""

    def __init__(self, loop, where, gate):
        self.gate = gate
        self.server = Server(loop, where, self.handle)
        self.address = self.server.address

    def handle(self, request):
        if request.target == b"/permits" and request.method == b"POST":
            self.execute(request)
            return
        table = TABLES.get(request.target)
        names = [path.decode() for path in TABLES]
        body = msgspec.json.encode(
            table(self.gate) if table else {"error": f"the paths are {', '.join(names[:-1])} and {names[-1]}"}
        )
        self.server.answer(request, 200 if table else 404, ((b"Content-Type", b"application/json"),), body)

    def execute(self, request):
        """A lease requested, extended or released for whoever asks (`docs/leases.md`)."""
        service, status = self.gate.others.leases, 200
        try:
            if service is None:
                raise ValueError("no keepers line in the configuration")
            told = service.execute(decode_command(request.body))
        except (ValueError, msgspec.ValidationError) as fault:
            told, status = {"error": str(fault)}, 400
        self.server.answer(
            request, status, ((b"Content-Type", b"application/json"),), msgspec.json.encode(told)
        )

    def stop(self):
        """Stays to be asked while the last tasks end; `close` ends it."""

    def close(self):
        self.server.close()
