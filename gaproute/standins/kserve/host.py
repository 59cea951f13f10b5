"""A stand-in model host on KServe v2 REST, the repository extension and ORCA reports.

Of troubles it knows one more than `machine`: shut (closes connections once they have been answered on).
"""

from urllib.parse import unquote

import msgspec

from gaproute.http1 import Limits, Server, render
from gaproute.standins.model_server import server
from gaproute.standins.model_server.fetching import fetcher
from gaproute.standins.model_server.server import ModelServer

STATUS = {server.FULL: 429, server.ERROR: 500, server.NO_LOAD: 500, server.DONE: 200}
TYPE = ((b"Content-Type", b"application/json"),)


class KServeHost:
    def __init__(self, loop, where, make, models, store, seed, tap, warm=False):
        self.loop, self.make, self.models, self.tap = loop, make, models, tap
        self.model_server = ModelServer(loop, make, models, fetcher(loop, store), seed, tap, warm)
        self.command = self.model_server.command
        self.server = Server(loop, where, self.handle, Limits(pipelined=4, idle_time=make.idle_close))
        self.address = self.server.address
        self.model_server.fell = self.server.close
        self.model_server.start()

    def handle(self, request):
        if self.model_server.down:
            cut_off(request)
            return
        parts = [unquote(part) for part in request.target.decode("latin-1").split("/")[1:]]
        match parts:
            case ["v2", "health", _]:
                self.server.answer(request, 200, self.report(None), b'{"ready":true}')
            case ["v2", "models", name, *_, "infer"] if name in self.models:
                self.infer(request, self.models[name])
            case ["v2", "repository", "models", name, "load"] if name in self.models:
                self.order(request, name)
            case ["v2", "repository", "models", name, "unload"] if name in self.models:
                self.model_server.pool.unload_idle(name)
                self.server.answer(request, 200, (), b"{}")
            case ["v2", "repository", "index"]:
                index = [
                    {"name": name, "state": "READY", "reason": ""}
                    for name, copies in self.model_server.pool.instances.items()
                    if copies.stand
                ]
                self.server.answer(request, 200, (), msgspec.json.encode(index))
            case _:
                self.server.answer(request, 404, (), b'{"error":"unknown model or path"}')

    def report(self, work):
        waiting, in_hand, cores, memory = self.model_server.figures()
        named = {"queue": waiting, "in_hand": in_hand}
        if work is not None:
            named |= {"copy": work.found, "alike": work.alike}
        told = {"cpu_utilization": cores, "mem_utilization": memory, "named_metrics": named}
        return ((b"endpoint-load-metrics", b"JSON " + msgspec.json.encode(told)),)

    # Tasks

    def infer(self, request, model):
        length = request.headers.get(b"inference-header-content-length")
        try:
            told = msgspec.json.decode(request.body if length is None else request.body[: int(length)])
            name = str(told.get("id", "")) if isinstance(told, dict) else ""
        except (msgspec.DecodeError, ValueError):
            name = request.headers.get(b"x-request-id", b"").decode("latin-1")
        mark = request.headers.get(b"gaproute-task", b"").decode("latin-1")
        work = self.model_server.take(
            name, mark, model, id(request.connection), lambda work, end: self.answer(request, work, end)
        )
        if work is not None:
            request.on_client_left = lambda: self.model_server.left(work)

    def answer(self, request, work, end):
        request.on_client_left = None
        if end == server.RESET:
            cut_off(request)
            return
        headers, body = (), msgspec.json.encode({"error": end})
        if end == server.NO_LOAD:
            headers = self.report(work)
        elif end in (server.DONE, server.CUT):
            body = msgspec.json.encode(
                {
                    "model_name": work.model.name,
                    "id": work.id,
                    "outputs": [{"name": "at", "shape": [1], "datatype": "BYTES", "data": [self.make.name]}],
                }
            )
            headers = TYPE + self.report(work)
        if end == server.CUT:
            whole = render(200, headers, body, close=False)
            request.connection.stream.write(whole[: len(whole) // 2])
            request.connection.close_gracefully()
            return
        self.tap.note("said", id=work.id, status=STATUS[end])
        self.server.answer(request, STATUS[end], headers, body)
        if "shut" in self.model_server.faults:
            self.loop.soon(request.connection.close_gracefully)

    def order(self, request, name):
        try:
            told = msgspec.json.decode(request.body or b"{}")
            count = int(told.get("parameters", {}).get("copies", 1))
        except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
            self.server.answer(request, 400, (), b'{"error":"parameters.copies is a number"}')
            return
        gateway = request.headers.get(b"gaproute-gateway", b"").decode("latin-1")
        stands = self.model_server.order(name, count, gateway, id(request.connection))
        if stands is None:
            self.server.answer(request, 409, (), b'{"error":"no room"}')
            return
        stands.then(
            lambda stands: self.server.answer(request, 200, (), msgspec.json.encode({"copies": stands.value}))
        )


def cut_off(request):
    request.connection.abort()
