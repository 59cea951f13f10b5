"""What an operator is told of a running gateway, over HTTP."""

import msgspec

from gaproute.connections.descriptors import descriptors
from gaproute.http1 import Server
from gaproute.shared.leases.operator_requests import decode_command

MILLI = 1_000_000


def status(gate):
    counts, peer_services, lot, hosts = gate.record.table(), gate.peer_services, gate.lot, gate.hosts
    giver, writer, learner = (
        peer_services.observation_server,
        peer_services.observation_writer,
        peer_services.observation_fetcher,
    )
    return {
        "name": gate.configuration.name,
        "stopping": gate.stopping,
        "ready": gate.ready(),
        "up_ms": (gate.loop.now() - gate.started) // MILLI,
        "held": len(gate.core.held),
        "late_turns": gate.loop.late_turns,
        "counts": counts,
        "clients": {
            "connections": lot.held,
            "most": lot.admission.most,
            "parked": lot.parked,
            "displaced": lot.displaced,
            "turned_away": lot.turned_away,
            "idle_ended": lot.expired,
            "descriptors": descriptors(),
            "kept_back": lot.admission.reserve,
        },
        "connections": {"opened": hosts.opened, "reused": hosts.reused, "raced": hosts.raced},
        "gateways": peer_services.membership_transport.membership.live_count()
        if peer_services.membership_transport
        else None,
        "cells": gate.cells and gate.cells.status(),
        "weak_word": peer_services.gossip_carrier
        and peer_services.gossip_carrier.weak.status(gate.loop.now()),
        "learnt": {
            "facts": len(peer_services.observations.facts),
            "refused": dict(peer_services.observations.refused),
            "peers": learner.state if learner else {},
            "booked": learner.booked if learner else 0,
            "right": sum(each.right for each in decisions(gate)),
            "wrong": sum(each.wrong for each in decisions(gate)),
        },
        "telling": giver and {"facts": giver.told, "put_off": giver.put_off, "cpu_ms": giver.spent / MILLI},
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
    relays = gate.record.table().get("relay", {})
    told = []
    for name, row in sorted(gate.rows.items()):
        host = gate.hosts.hosts.get(name)
        told.append(
            {
                "name": name,
                "address": row.where,
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
    for name, function in (pair for each in decisions(gate) for pair in each.functions.items()):
        for tried, table in ((True, function.seen), (False, function.told)):
            for worker, seen in table.items():
                fact = gate.peer_services.observations.facts.get(("warm", worker, name))
                told.append(
                    {
                        "worker": worker,
                        "function": name,
                        "age_ms": (now - seen) // MILLI,
                        "tried": tried,
                        "by": "an answer"
                        if worker in function.stands
                        else fact.origin
                        if fact
                        else "a task sent",
                    }
                )
    return sorted(told, key=lambda each: each["age_ms"])


def peer_table(gate):
    """The gateways that are known: membership's view, and what each told at the start."""
    learnt = gate.peer_services.observation_fetcher.state if gate.peer_services.observation_fetcher else {}
    gossip = gate.peer_services.membership_transport
    rows = gossip.table() if gossip else [{"name": name, "state": None} for name in learnt]
    return [row | {"learnt": learnt.get(row["name"])} for row in rows]


def leases(gate):
    """The leases of this gateway, and its part in the Raft group."""
    return gate.peer_services.leases and gate.peer_services.leases.table()


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
        service, status = self.gate.peer_services.leases, 200
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
