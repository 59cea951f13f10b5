"""The REST form of KServe v2 for clients: requests become calls, finals become answers, bodies pass
untouched.

| final answer | status | told beside the published form |
| --- | --- | --- |
| delivered | the host's | `Gaproute-Outcome: delivered` |
| declined | 503 | `Gaproute-Outcome: declined`, `Retry-After` in whole s, `Gaproute-Retry-After-Ms` exactly |
| scrapped | 504 | `Gaproute-Outcome: scrapped` |

Both of the latter carry the published error object, whose text names the outcome, and `Gaproute-Task`.
A client may shorten its track's hard limit by `Gaproute-Limit-Ms`, counted from its first byte, never
lengthen it. `Gaproute-Tenant` names a tenant of the configuration.
"""

from urllib.parse import unquote_to_bytes

import msgspec

from gaproute.decisions.admission.admission import IDLE_JITTER
from gaproute.http1 import Limits, Server
from gaproute.interface.call import Call, Ending

MILLI, SECOND = 1_000_000, 1_000_000_000
VERSION = "0.2.0"
JSON = (b"Content-Type", b"application/json")
PASSED = (
    b"content-type",
    b"content-encoding",
    b"accept",
    b"accept-encoding",
    b"inference-header-content-length",
    b"traceparent",
    b"tracestate",
    b"x-request-id",
)
EXTENSIONS = ["binary_tensor_data"]
STATUS = {Ending.REJECTED: 503, Ending.FAILED: 504}


class Refused(Exception):
    def __init__(self, status, text):
        super().__init__(text)
        self.status, self.text = status, text


def error(text):
    return msgspec.json.encode({"error": text})


class Front:
    """One listening address. `core` takes the tasks; `models`, `tenants` and `tracks` are the
    configuration's."""

    def __init__(self, loop, where, core, configuration, ready, inherited=None):
        self.loop, self.core, self.ready = loop, core, ready
        self.version = VERSION
        self.name = configuration.name
        self.models, self.tenants = configuration.models, configuration.tenants
        self.tracks = {line.name: (place, line.limit) for place, line in enumerate(configuration.tracks)}
        clients = configuration.clients
        self.way_back = clients.way_back
        limits = Limits(
            clients.head,
            clients.body,
            clients.pipelined,
            clients.read,
            clients.idle,
            clients.connections,
            IDLE_JITTER,
        )
        self.server = self.listen(where, limits, inherited)
        self.address = self.server.address

    def listen(self, where, limits, inherited):
        """The server at an address. Errors: OSError."""
        return Server(
            self.loop,
            where,
            self.handle,
            limits,
            lambda fault: ((JSON,), error(fault.text)),
            counted=True,
            inherited=inherited,
        )

    def handle(self, request):
        try:
            self.route(request)
        except Refused as refused:
            self.server.answer(request, refused.status, (JSON,), error(refused.text))

    def route(self, request):
        parts = request.target.partition(b"?")[0].split(b"/")
        parts = [part.decode("utf-8", "replace") for part in map(unquote_to_bytes, parts[1:])]
        match parts:
            case ["v2"] | ["v2", ""]:
                self.told(request, {"name": self.name, "version": self.version, "extensions": EXTENSIONS})
            case ["v2", "health", "live"]:
                self.told(request, {"live": True})
            case ["v2", "health", "ready"]:
                self.told(request, {"ready": self.ready()}, 200 if self.ready() else 503)
            case ["v2", "models", name, "versions", version, *rest]:
                self.model(request, name, version, rest)
            case ["v2", "models", name, *rest]:
                self.model(request, name, "", rest)
            case _:
                raise Refused(
                    404,
                    "no such path: /v2, /v2/health/live, /v2/health/ready, /v2/models/NAME, "
                    "/v2/models/NAME/ready, /v2/models/NAME/infer",
                )

    def model(self, request, name, version, rest):
        model = self.models.get(name)
        if model is None or version and version not in model.versions:
            raise Refused(
                404, f"unknown model {name[:128]!r}" + (f" version {version[:128]!r}" if version else "")
            )
        match rest:
            case ["infer"] if request.method == b"POST":
                self.infer(request, model, version)
            case ["infer"]:
                raise Refused(405, "infer is a POST")
            case ["ready"]:
                self.told(request, {"name": name, "ready": self.ready()}, 200 if self.ready() else 503)
            case []:
                versions = {"versions": list(model.versions)} if model.versions else {}
                self.told(
                    request, {"name": name, **versions, "platform": "gaproute", "inputs": [], "outputs": []}
                )
            case _:
                raise Refused(404, "a model has infer, ready and its metadata")

    def told(self, request, told, status=200):
        if request.method != b"GET":
            raise Refused(405, "this is a GET")
        self.server.answer(request, status, (JSON,), msgspec.json.encode(told))

    def infer(self, request, model, version):
        headers = request.headers
        track, limit = self.tracks[model.track]
        asked = headers.get(b"gaproute-limit-ms")
        if asked is not None:
            if not asked.isdigit() or len(asked) > 12 or int(asked) == 0:
                raise Refused(400, "Gaproute-Limit-Ms is a whole number of milliseconds, 1 or more")
            limit = min(limit, int(asked) * MILLI)
        length = headers.get(b"inference-header-content-length")
        if length is not None and (
            not length.isdigit() or len(length) > 12 or int(length) > len(request.body)
        ):
            raise Refused(400, "Inference-Header-Content-Length is at most the body's length")
        tenant = len(self.tenants)
        if (named := headers.get(b"gaproute-tenant")) is not None and self.tenants:
            tenant = self.tenants.get(named.decode("latin-1"))
            if tenant is None:
                raise Refused(400, "unknown Gaproute-Tenant")
        if request.departed:
            self.departed(request)
            return
        call = self.call(request, model, version)
        left = []

        def finish(final):
            if not left:
                self.final(request, final)

        def gone():
            left.append(True)
            self.core.client_left(key)
            self.departed(request)

        key = self.core.submit(
            call, track, tenant, model.lanes, model.load, request.arrived, limit - self.way_back, finish
        )
        request.left = gone

    def departed(self, request):
        """The answer for one that has closed its side and may still read."""
        self.server.answer(
            request,
            504,
            (JSON, (b"Gaproute-Outcome", b"scrapped")),
            error("scrapped: the client closed its side before the answer"),
        )

    def call(self, request, model, version):
        """A request as a call."""
        headers = request.headers
        return Call(
            model.name,
            version,
            tuple((name, headers[name]) for name in PASSED if name in headers),
            request.body,
            tenant=headers.get(b"gaproute-tenant", b""),
            client_present=request.link.client_present,
        )

    def answer(self, request, final, status, fields, body):
        """The one answer to a request."""
        self.server.answer(request, status, fields, body)

    def decline_status(self, request, final):
        """The status of a declined call."""
        return STATUS[Ending.REJECTED]

    def decline(self, request, final):
        """The answer to a declined call."""
        fields = (
            JSON,
            (b"Gaproute-Outcome", b"declined"),
            (b"Retry-After", b"%d" % -(-final.retry_after // SECOND)),
            (b"Gaproute-Retry-After-Ms", b"%d" % -(-final.retry_after // MILLI)),
            (b"Gaproute-Task", final.request.encode()),
        )
        self.answer(request, final, self.decline_status(request, final), fields, error(final.reason))

    def final(self, request, final):
        task = (b"Gaproute-Task", final.request.encode())
        relays = (b"Gaproute-Relays", b"%d" % final.attempts)
        if final.ending is Ending.DELIVERED:
            answer = final.answer
            fields = (*answer.fields, (b"Gaproute-Outcome", b"delivered"), task, relays)
            self.answer(request, final, answer.status, fields, answer.body)
        elif final.ending is Ending.REJECTED:
            self.decline(request, final)
        else:
            fields = (JSON, (b"Gaproute-Outcome", b"scrapped"), task, relays)
            self.answer(request, final, STATUS[final.ending], fields, error(final.reason))

    @property
    def held(self):
        """Connections of clients, at work and parked."""
        return self.server.held

    def alone(self):
        """No other process accepts from the same queue any more: what waits there at the stop is taken in."""
        self.server.shared = False

    def on_emptied(self, call):
        """`call()` when the last connection is closed after a stop."""
        self.server.emptied = call

    def stop(self, grace):
        """Accepts no more; `grace` as of `Server.stop`."""
        self.server.stop(grace)

    def close(self):
        self.server.close()
