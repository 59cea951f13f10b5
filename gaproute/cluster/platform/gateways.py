"""The platform's gateways of a harness: `gaproute.platform`, each with a file and environment of its own."""

import json

from gaproute.cluster.gateways import ClusterGateways
from gaproute.cluster.processes import NEXT, hurry
from gaproute.scenarios.processes import MILLI, READY_TIME, NotReadyError
from gaproute.standins.platform.gateway_configuration import (
    RequestClassSettings,
    deployment_settings,
    make_configuration,
    write_configuration,
)


class PlatformGateways(ClusterGateways):
    def rules(self):
        script = self.trial.script
        copies, life, day = script.copies, script.life, script.day
        tracks = [
            RequestClassSettings(
                line.name, line.effect, line.group, line.contract, line.limit, line.earnings, line.remembers
            )
            for line in script.tracks
        ]
        return deployment_settings(
            tracks,
            gateways=day.gateways,
            zones=[f"hall-{hall}" for hall in range(day.halls)],
            keep=life.keep,
            cold_share=life.cold_share,
            cold_time=life.cold_time,
            idle_close=life.idle_close,
            family_info={
                "placement_calls": copies.orders,
                "loads_anyway": copies.free,
                "load_part": copies.share,
                "loads_within": copies.window / MILLI,
            },
        )

    def start(self, number):
        """A coroutine: until it says that it has started."""
        trial, name = self.trial, f"g{number}"
        listen, peers = self.table.gateway(number)
        told = make_configuration(
            name,
            listen,
            self.table.changelog(number),
            trial.host_list.known(number),
            self.rules(),
            trial.seed * 1000 + number,
            peer_listen=peers if trial.script.day.peers else "",
            peers_all=trial.spread_at,
        )
        _, environment = write_configuration(self.out, told)
        log = self.out / f"{name}.log"
        before = log.stat().st_size if log.exists() else 0
        process = trial.processes.start(
            ["gaproute.platform"],
            None,
            log.name,
            reads_output=False,
            environment=environment,
            **self.process_options(number),
        )
        self.processes[number] = process
        end = self.loop.now() + READY_TIME
        while not self.has_started(log.read_bytes()[before:]):
            if process.child.poll() is not None:
                raise RuntimeError(f"{name} did not start; see {log}")
            if self.loop.now() > end:
                raise NotReadyError(f"{name} was not up in time; see {log}")
            yield self.loop.sleep(20 * MILLI)
        if trial.script.cluster.crowded and trial.processes.first:
            hurry(process.child.pid, NEXT)
        self.tap.note("started", gateway=number, name=name)
        self.tap.flush()

    def has_started(self, text):
        lines = [json.loads(line) for line in text.split(b"\n")[:-1] if line.startswith(b"{")]
        return any(line.get("event") == "started" for line in lines)

    def restart(self, number, kind, back):
        if kind == "TERM" and number not in self.busy:
            self.trial.clients.send({"do": "leaving", "gateway": number})
        yield from super().restart(number, kind, back)

    def terminate(self, span):
        yield from super().terminate(span)
        self.trial.host_list.process.close_input()
        self.trial.spread.close_input()
