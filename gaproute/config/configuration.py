"""The configuration that a checked configuration becomes."""

from gaproute import interface as face
from gaproute.config.directives import DIRECTIVES
from gaproute.config.directives.fleet import PeerLine

EFFECTS = {effect.value: effect for effect in face.Idempotency}
GROUPS = {"all": face.Group.ALL, "zone": face.Group.ZONE, "rack": face.Group.CELL}


class Configuration:
    """A checked configuration: what the parts of the appliance are given when they start."""

    def __init__(self, file, found):
        def all_of(word):
            return [directive for name, directive in found if name == word]

        def one(word):
            return next(iter(all_of(word)), None) or DIRECTIVES[word].model_construct()

        self.file = file
        self.name = one("name").name
        self.listens = [(line.kind, line.where) for line in all_of("listen")]
        self.hosts = all_of("host")
        self.hosts_file = next(iter(all_of("hosts-file")), None)
        self.cells = next(iter(all_of("cells")), None)
        self.cell_hosts = next(iter(all_of("cell-hosts")), None)
        self.tracks = all_of("track")
        self.models = {line.name: line for line in all_of("model")}
        self.tenants = {line.name: place for place, line in enumerate(all_of("tenant"))}
        self.peers = all_of("peer")
        self.peers_file = next(iter(all_of("peers-file")), None)
        self.memory = next((line.path for line in all_of("memory")), None)
        self.keepers = next(iter(all_of("keepers")), None)
        self.clients, self.reach = one("clients"), one("reach")
        self.log_level, self.decisions = one("log").level, one("decisions").load()
        self.longest = max(line.limit for line in self.tracks)
        copies, relays, cold, reports = one("copies"), one("relays"), one("cold"), one("reports")
        self.sizes_told, self.weak_word = one("sizes").told, one("weak-word").told
        self.terms = face.Terms(
            tracks=tuple(
                face.RequestClass(
                    EFFECTS[line.effect],
                    GROUPS[line.group],
                    line.remembers,
                    line.contract,
                    line.limit,
                    line.earnings,
                )
                for line in self.tracks
            ),
            tenant_shares=tuple(line.share for line in all_of("tenant")),
            over_share_value=one("over-share").value,
            keep_alive=copies.keep,
            orders_allowed=copies.orders,
            order_free=copies.free,
            order_share=copies.share,
            order_window=copies.window,
            counts_alike=copies.alike,
            notes_warmth=copies.notes,
            probes_allowed=reports.probes,
            reports_by_probe=reports.source == "probe",
            reported=(),
            probe_price=0.0,
            peer_price=0.0,
            peers_allowed=False,  # they tell each other more, by their own way
            gateways=self.cells.gateways if self.cells else 1,
            cancel_allowed=relays.cancel,
            twins_allowed=relays.twins,
            relay_limit=relays.limit,
            advice_limit=one("advice").limit,
            cold_share=cold.share,
            cold_time=cold.time,
            must_ask_list=False,
            zone=-1,
            crossing_price=0.0,
        )

    def seat(self, number, count):
        """Makes this the configuration of one of `count` processes: a name, and addresses but the clients',
        of its own; the others are its peers where it tells others at all."""
        base = self.name
        self.name = f"{base}-{number}"
        peers = [where for kind, where in self.listens if kind == "peers"]
        self.listens = [
            (kind, where if kind == "kserve" else _seated(where, number)) for kind, where in self.listens
        ]
        if self.memory is not None:
            self.memory = f"{self.memory}.{number}"
        if self.cells is not None and self.cells.kept is not None:
            self.cells = self.cells.model_copy(update={"kept": f"{self.cells.kept}.{number}"})
        if peers and not self.peers_file:
            self.peers = self.peers + [
                PeerLine(name=f"{base}-{other}", where=_seated(peers[0], other))
                for other in range(count + 1)
                if other != number
            ]


def _seated(where, seat):
    """The address of a seat beside others of the same configuration: the path or the port counted on."""
    if where.startswith("unix:"):
        return f"{where}.{seat}"
    host, _, port = where.rpartition(":")
    return f"{host}:{int(port) + seat if int(port) else 0}"
