"""Several stand-in hosts of the platform in one process, each with a tap of its own for each of its lives."""

from pathlib import Path

from gaproute.loop.addresses import address
from gaproute.standins.model_server import HostProfile, ModelProfile
from gaproute.standins.platform.host import PlatformHost
from gaproute.standins.tap import Tap


class PlatformHosts:
    """`told`: models, hosts (each listen, make, warm), taps (a folder), and as wanted store, seed, meter,
    report."""

    def __init__(self, loop, told, say):
        self.loop, self.told, self.say = loop, told, say
        self.models = {model["name"]: ModelProfile(**model) for model in told["models"]}
        self.hosts, self.seats, self.runs = {}, {}, {}
        for seat in told["hosts"]:
            self.start(seat)
        addresses = {name: host.address for name, host in self.hosts.items()}
        say({"address": next(iter(addresses.values()), ""), "addresses": addresses})

    def start(self, seat):
        """A host's first life or its next, at the address it had."""
        name, told = seat["make"]["name"], self.told
        if name in self.hosts:
            self.hosts[name].crash()  # it had fallen over, or is restarted as it stands
        run = self.runs[name] = self.runs.get(name, 0) + 1
        folder = told.get("taps")
        tap = Tap(Path(folder) / f"host-{name}.{run}.tap" if folder else None, self.loop.clock)
        host = PlatformHost(
            self.loop,
            address(seat["listen"]),
            HostProfile(**seat["make"]),
            self.models,
            told.get("store"),
            f"{told.get('seed', 1)} {name} {run}",
            tap,
            seat.get("warm", False),
            tuple(told.get("meter", ("cpu_share", "x0"))),
            told.get("report") == "piggyback",
        )
        self.hosts[name], self.seats[name] = host, seat | {"listen": host.address}

    def flush(self):
        for host in self.hosts.values():
            host.tap.flush()

    def command(self, told):
        """{"host": NAME, "do": "crash" or "start" (with "warm", or a whole "seat")}, or a trouble at the
        hosts of `hosts`, at `host`, or at all."""
        name, do = told.get("host"), told.get("do")
        if do == "crash":
            self.hosts.pop(name).crash()
        elif do == "start":
            seat = told.get("seat") or self.seats[name] | {"warm": told.get("warm", False)}
            self.start(seat)
            name = seat["make"]["name"]
            self.say({"host": name, "address": self.hosts[name].address})
        else:
            for each in told.get("hosts", [name] if name else list(self.hosts)):
                if each in self.hosts:
                    self.hosts[each].command(told)
