"""Carries out the faults of a script: at hosts, at clients, at processes, at the host list."""

import signal
from collections.abc import Callable
from typing import Any, Protocol

from gaproute.scenarios.clients import ClientContext, DayClients
from gaproute.scenarios.host_list import HostListPublisher
from gaproute.scenarios.hosts import DayHost, DayHosts, ListedState
from gaproute.scenarios.processes import Routine
from gaproute.scenarios.script_lines import CLIENT_FAULTS, HOST_FAULTS, DayFaultLine
from gaproute.units import MILLI, SECOND

REPLACEMENT_DELAY = 200 * MILLI  # until the list names a host that replaces another, and no longer the other


class FaultContext(ClientContext, Protocol):
    """The played day as its faults know it. `report` shows a person what happens."""

    hosts: DayHosts
    host_list: HostListPublisher
    clients: DayClients
    report: Callable[[str], object]


class DayFaultSchedule:
    """The faults of one day. Which method carries out which, the table in `__init__` says."""

    def __init__(self, trial: FaultContext) -> None:
        self.trial, self.loop = trial, trial.loop
        self.list_delay = trial.script.day.list_delay
        self._actions: dict[str, Callable[[DayFaultLine], Routine]] = {
            **dict.fromkeys(HOST_FAULTS, self._affect_hosts),
            **dict.fromkeys(CLIENT_FAULTS, self._affect_clients),
            "list-late": self._delay_host_list,
            "gateway-kill": self._kill_gateway,
            "gateway-stall": self._pause_gateway,
            "deploy": self._deploy,
            "preempt": self._preempt,
            "vanish": self._silence_hosts,
            "crash": self._crash_hosts,
        }

    def run(self, line: DayFaultLine) -> Routine:
        """A coroutine: one fault from its time to its end."""
        yield self.loop.sleep(line.at)
        self.trial.tap.note("trouble", name=line.name, lasts=line.lasts)
        self.trial.report(f"{line.at / SECOND:5.1f} s  {line.name}")
        yield from self._actions[line.name](line)

    def _affect_hosts(self, line: DayFaultLine) -> Routine:
        hosts, command = self.trial.hosts.choose(line), _command(line)
        self.trial.hosts.send(hosts, command)
        yield self.loop.sleep(line.lasts)
        self.trial.hosts.send(hosts, command | {"on": False})

    def _affect_clients(self, line: DayFaultLine) -> Routine:
        command = _command(line)
        self.trial.clients.send(command)
        yield self.loop.sleep(line.lasts)
        self.trial.clients.send(command | {"on": False})

    def _delay_host_list(self, line: DayFaultLine) -> Routine:
        self.trial.host_list.delay = line.back
        yield self.loop.sleep(line.lasts)
        self.trial.host_list.delay = 0

    def _kill_gateway(self, line: DayFaultLine) -> Routine:
        killed = self.trial.gateways.kill_and_restart(self._gateway_number(line), line.back)
        yield self.loop.spawn(killed).done

    def _pause_gateway(self, line: DayFaultLine) -> Routine:
        paused = self.trial.gateways.pause(self._gateway_number(line), line.lasts)
        yield self.loop.spawn(paused).done

    def _gateway_number(self, line: DayFaultLine) -> int:
        return line.gateway % self.trial.script.day.gateways

    def _deploy(self, line: DayFaultLine) -> Routine:
        """Hosts are replaced, `batch` at a time."""
        hosts = self.trial.hosts.choose(line)
        for place in range(0, len(hosts), line.batch):
            replacements = [
                self.loop.spawn(self._replace(host, line.lasts, line.back))
                for host in hosts[place : place + line.batch]
            ]
            for replacement in replacements:
                yield replacement.done

    def _preempt(self, line: DayFaultLine) -> Routine:
        """Hosts are replaced, all at once."""
        for host in self.trial.hosts.choose(line):
            self.loop.spawn(self._replace(host, line.lasts, line.back))
        yield from ()

    def _silence_hosts(self, line: DayFaultLine) -> Routine:
        for host in self.trial.hosts.choose(line):
            self.loop.spawn(self._silence(host, line))
        yield from ()

    def _crash_hosts(self, line: DayFaultLine) -> Routine:
        for host in self.trial.hosts.choose(line):
            self.loop.spawn(self._crash(host, line))
        yield from ()

    def _silence(self, host: DayHost, line: DayFaultLine) -> Routine:
        """A host's process is paused with its sockets open, and killed after a while."""
        host.under_fault = True
        if host.process is not None:
            host.process.signal(signal.SIGSTOP)
        self._publish_gone(host, 2 * self.list_delay)
        yield self.loop.sleep(line.lasts)
        yield from self._kill_and_restart(host, line)

    def _crash(self, host: DayHost, line: DayFaultLine) -> Routine:
        """A host's process is killed, so that its connections are reset."""
        host.under_fault = True
        self._publish_gone(host, self.list_delay)
        yield from self._kill_and_restart(host, line)

    def _publish_gone(self, host: DayHost, delay: int) -> None:
        self.loop.spawn(self.trial.host_list.publish_state(host, ListedState.GONE, delay))

    def _kill_and_restart(self, host: DayHost, line: DayFaultLine) -> Routine:
        """The host comes back cold, at the same address."""
        self.trial.hosts.kill(host)
        yield self.loop.sleep(line.back + self.list_delay + self.trial.host_list.delay)
        yield from self.trial.hosts.start(host, warm=False)
        yield from self.trial.host_list.publish_state(host, ListedState.ACTIVE, self.list_delay // 2)
        host.under_fault = False

    def _replace(self, host: DayHost, notice: int, back: int) -> Routine:
        """Listed as draining, killed after the notice; another host, new and cold, takes its place."""
        hosts, host_list = self.trial.hosts, self.trial.host_list
        host.under_fault = True
        host.state = ListedState.DRAINING
        host_list.publish()
        yield self.loop.sleep(notice)
        hosts.kill(host)
        yield from host_list.publish_state(host, ListedState.ABSENT, REPLACEMENT_DELAY)
        yield self.loop.sleep(back)
        replacement = hosts.create()
        replacement.state = ListedState.ABSENT
        yield from hosts.start(replacement, warm=False)
        yield from host_list.publish_state(replacement, ListedState.ACTIVE, REPLACEMENT_DELAY)


def _command(line: DayFaultLine) -> dict[str, Any]:
    """The command that begins a fault at a stand-in."""
    command = {"trouble": line.name, "share": line.share, "factor": line.factor}
    return command | {"track": line.track} if line.track else command
