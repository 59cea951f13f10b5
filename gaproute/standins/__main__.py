"""`python -m gaproute.standins KIND`: one stand-in as a process; the kinds stand in `MAKERS`.

What it is made of comes as one line of JSON on standard input; commands follow, a line each. Its address goes
to standard output as a line of JSON. It ends when its input ends.
"""

import os
import resource
import sys

import msgspec

from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.loop.descriptors import HANGUP, READ
from gaproute.standins.kserve import KServeHost, clients
from gaproute.standins.model_server import HostProfile, ModelProfile
from gaproute.standins.model_store import ModelStore
from gaproute.standins.platform import clients as platform_clients
from gaproute.standins.platform.change_log import ChangeLogServer
from gaproute.standins.platform.hosts import PlatformHosts
from gaproute.standins.platform.peer_broadcast import PeerBroadcast
from gaproute.standins.tap import Tap
from gaproute.standins.tap_flusher import beat


def say(told):
    print(msgspec.json.encode(told).decode(), flush=True)


def store(loop, told, tap):
    made = ModelStore(loop, address(told["listen"]), told["pace"], told["limit"], told["thrash"], tap)
    made.command = lambda told: setattr(made, "pace", told["pace"])
    say({"address": made.address})
    return made


def host(loop, told, tap):
    models = {model["name"]: ModelProfile(**model) for model in told["models"]}
    made = KServeHost(
        loop,
        address(told["listen"]),
        HostProfile(**told["make"]),
        models,
        told["store"],
        told["seed"],
        tap,
        told["warm"],
    )
    say({"address": made.address})
    return made


def callers(loop, told, tap):
    habits = told["habits"] | {"patience": tuple(told["habits"]["patience"])}
    kinds = [clients.KServeRequestClass(**each | {"models": tuple(each["models"])}) for each in told["kinds"]]
    return clients.KServeClients(
        loop,
        told["gateways"],
        kinds,
        clients.KServeTraffic(**habits),
        told["seed"],
        tap,
        loop.now() + told["length"],
    )


def platform_hosts(loop, told, tap):
    return PlatformHosts(loop, told, say)


def platform_log(loop, told, tap):
    return ChangeLogServer(loop, told["gateways"], tap, say)


def platform_spread(loop, told, tap):
    made = PeerBroadcast(loop, told["listen"], told["ways"], tap)
    say({"address": made.address})
    return made


def platform_callers(loop, told, tap):
    return platform_clients.PlatformClients(
        loop,
        told["gateways"],
        [ModelProfile(**model) for model in told["models"]],
        [platform_clients.PlatformRequestClass(**kind) for kind in told["kinds"]],
        platform_clients.PlatformTraffic(**told.get("habits", {})),
        told["seed"],
        tap,
        told["length"],
        say,
    )


MAKERS = {
    "store": store,
    "host": host,
    "clients": callers,
    "platform-host": platform_hosts,
    "platform-log": platform_log,
    "platform-clients": platform_callers,
    "platform-spread": platform_spread,
}


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in MAKERS:
        print(f"one of {', '.join(MAKERS)}", file=sys.stderr)
        return 2
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))  # one process may stand for many hosts
    told = msgspec.json.decode(sys.stdin.buffer.readline())
    loop = Loop()
    tap = Tap(told.get("tap"), loop.clock)
    made = MAKERS[sys.argv[1]](loop, told, tap)
    beat(loop, tap)
    rest = [b""]

    def command(events):
        data = os.read(0, 65536) if events & (READ | HANGUP) else b""
        if not data:
            loop.stop()
            return
        *lines, rest[0] = (rest[0] + data).split(b"\n")
        for line in lines:
            if line:
                made.command(msgspec.json.decode(line))

    loop.watch(0, READ, command)
    loop.run()
    for part in (tap, made):
        getattr(part, "flush", lambda: None)()
    return 0


if __name__ == "__main__":
    sys.exit(main())
