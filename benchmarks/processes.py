"""Several processes behind one address: a queue of connections for each (SO_REUSEPORT) or one for all
(inherited).

    python benchmarks/processes.py [--runs 3] [--out docs/measured]

Four servers that answer at once. Clients come at 300 a second for 6 s, each with a connection and a task of
its own. From second 1 one process stands still for 1.5 s; from second 3 on two are replaced, one after the
other: a new one is started first, then the old one closes its listening socket and ends. Counted: tasks that
failed, that took over 100 ms and over 1 s.
"""

import argparse
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write

from gaproute.http1 import Exchange, Server
from gaproute.loop import Loop

SECOND = 1_000_000_000


def serve(descriptor):
    loop = Loop()
    sock = socket.socket(fileno=descriptor)

    def handle(request):
        server.answer(request, 200, (), b"ok")

    server = Server(loop, (sock.family, None), handle, inherited=sock)

    def stop():
        server.stop()
        loop.after(SECOND // 2, loop.stop)

    loop.on_signal(signal.SIGTERM, stop)
    print("ready", flush=True)
    loop.run()


def opened(port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    return sock


def child(sock, wait):
    os.set_inheritable(sock.fileno(), True)
    made = subprocess.Popen(
        [sys.executable, __file__, "serve", str(sock.fileno())],
        pass_fds=[sock.fileno()],
        stdout=subprocess.PIPE,
    )
    if wait:
        made.stdout.readline()
    return made


def play(form, seed):
    first = opened()
    port = first.getsockname()[1]

    def start(wait=True):
        sock = first if form == "one queue" else opened(port)
        made = child(sock, wait)
        if sock is not first:
            sock.close()
        return made

    if form != "one queue":
        first.close()
    children = [start() for _ in range(4)]
    loop, chance, times = Loop(), random.Random(seed), []
    data = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

    def task(at):
        def came(answer, fault):
            times.append((loop.now() - at, answer is not None))

        Exchange(loop, data, came).connect((socket.AF_INET, ("127.0.0.1", port)), 10 * SECOND, 16384, 1 << 20)

    def arrivals():
        at, end = loop.now(), loop.now() + 6 * SECOND
        while at < end:
            at += round(chance.expovariate(300) * SECOND)
            yield loop.sleep(max(0, at - loop.now()))
            task(at)

    def troubles():
        yield loop.sleep(SECOND)
        children[0].send_signal(signal.SIGSTOP)
        yield loop.sleep(1500 * 1_000_000)
        children[0].send_signal(signal.SIGCONT)
        yield loop.sleep(500 * 1_000_000)
        for place in (1, 2):
            loop.spawn(replaced(place))
            yield loop.sleep(SECOND)

    def replaced(place):
        children.append(start(wait=False))  # the clients go on meanwhile
        yield loop.sleep(700 * 1_000_000)
        children[place].send_signal(signal.SIGTERM)

    loop.spawn(arrivals())
    loop.spawn(troubles())
    loop.after(9 * SECOND, loop.stop)
    loop.run()
    for each in children:
        each.terminate()
        each.wait()
        each.stdout.close()
    first.close()
    return {
        "tasks": len(times),
        "failed": sum(not well for _, well in times),
        "over 100 ms": sum(took > SECOND // 10 for took, _ in times),
        "over 1 s": sum(took > SECOND for took, _ in times),
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--runs", type=int, default=3)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for form in ("queue each", "one queue"):
        runs = [play(form, seed) for seed in range(told.runs)]
        rows.append({"form": form} | {name: median(run[name] for run in runs) for name in runs[0]})
        print(rows[-1], flush=True)
    write(told.out, "processes", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(int(sys.argv[2]))
    else:
        main()
