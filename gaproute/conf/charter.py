"""What each line of the configuration may say, and the charter that a checked file becomes."""
import datetime
import importlib
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, Field, model_validator

from gaproute import interface as face
from gaproute.conf.lines import Directive, Mistake, Mistakes, Size, Span, Yes, read_lines
from gaproute.loop.streams import address

NAME = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")


def _address(value):
    address(value)
    return value


def _started(value):
    """Seconds since 1970, or ISO 8601 with its offset, as ns since 1970."""
    try:
        return round(float(value) * 1e9)
    except ValueError:
        pass
    try:
        when = datetime.datetime.fromisoformat(value)
    except ValueError:
        raise ValueError(f"{value!r} is no time: 2026-12-01T18:00:00Z or seconds since 1970") from None
    if when.tzinfo is None:
        raise ValueError(f"{value!r} lacks its offset, such as Z")
    return round(when.timestamp() * 1e9)


Name = Annotated[str, NAME]
Address = Annotated[str, BeforeValidator(_address)]
Started = Annotated[int, BeforeValidator(_started)]


class Word(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "name gate-1"
    once: ClassVar = True
    name: Name = "gateway"


class Listen(Directive):
    places: ClassVar = ("kind", "where")
    example: ClassVar = "listen kserve 127.0.0.1:8080"
    kind: Literal["kserve", "operator", "peers"]
    where: Address


class HostsFile(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "hosts-file hosts.list look 50ms"
    once: ClassVar = True
    path: str
    look: Span = Field(50_000_000, ge=1_000_000, le=400_000_000)


class HostLine(Directive):
    places: ClassVar = ("name", "where")
    example: ClassVar = "host mh01 127.0.0.1:9001 zone hall-a rack r1 capacity 4 state active"
    name: Name
    where: Address
    zone: str = ""
    rack: str = ""
    capacity: float = Field(1.0, gt=0, le=1e6)
    state: Literal["active", "draining", "gone"] = "active"
    started: Started | None = None


class TrackLine(Directive):
    places: ClassVar = ("name", "effect")
    example: ClassVar = "track fault-check pure contract 1200ms limit 5s earnings 3"
    name: Name
    effect: Literal["pure", "receipted", "effectful"]
    contract: Span = Field(gt=0)
    limit: Span = Field(gt=0)
    earnings: float = Field(1.0, gt=0, le=1e6)
    group: Literal["all", "zone", "rack"] = "all"
    remembers: Span = 0

    @model_validator(mode="after")
    def fits(self):
        if self.contract > self.limit:
            raise ValueError("the contract time is over the limit")
        if (self.effect == "receipted") != (self.remembers > 0):
            raise ValueError("remembers belongs to receipted tracks, and each of them needs it")
        return self


class ModelLine(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "model lamp-07 track fault-check lanes 4 load 1200ms versions 1,2"
    name: Name
    track: str
    lanes: int = Field(1, ge=1, le=1024)
    load: Span | None = None
    versions: Annotated[tuple[Name, ...], BeforeValidator(
        lambda value: tuple(value.split(",")) if isinstance(value, str) else value)] = ()


class TenantLine(Directive):
    places: ClassVar = ("name",)
    example: ClassVar = "tenant kati share 0.45"
    name: Name
    share: float = Field(gt=0, le=1)


class PeerLine(Directive):
    places: ClassVar = ("name", "where")
    example: ClassVar = "peer gate-2 127.0.0.1:8090"
    name: Name
    where: Address


class PeersFile(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "peers-file peers.list look 1s"
    once: ClassVar = True
    path: str
    look: Span = Field(1_000_000_000, ge=1_000_000, le=60_000_000_000)


class MemoryLine(Directive):
    places: ClassVar = ("path",)
    example: ClassVar = "memory /var/lib/gaproute/gate-1.memory"
    once: ClassVar = True
    path: str


class Copies(Directive):
    example: ClassVar = "copies keep 10s orders yes free 6 share 0.3 window 10s"
    once: ClassVar = True
    keep: Span = Field(10_000_000_000, gt=0)
    orders: Yes = True
    free: float = Field(6, ge=0)
    share: float = Field(0.3, ge=0)
    window: Span = 10_000_000_000
    alike: Yes = True
    notes: Yes = True


class Relays(Directive):
    example: ClassVar = "relays limit 4 twins yes recall yes"
    once: ClassVar = True
    limit: int = Field(4, ge=1, le=64)
    twins: Yes = True
    recall: Yes = True


class Reports(Directive):
    places: ClassVar = ("source",)
    example: ClassVar = "reports answer probes no"
    once: ClassVar = True
    source: Literal["probe", "answer"] = "answer"
    probes: Yes = True

    @model_validator(mode="after")
    def fits(self):
        if self.source == "probe" and not self.probes:
            raise ValueError("hosts whose load is told by probes alone cannot go without probes")
        return self


class Cold(Directive):
    example: ClassVar = "cold share 0.17 time 18s"
    once: ClassVar = True
    share: float = Field(0.2, ge=0, le=1)
    time: Span = 15_000_000_000


class Sizes(Directive):
    places: ClassVar = ("told",)
    example: ClassVar = "sizes no"
    once: ClassVar = True
    told: Yes = True


class Advice(Directive):
    example: ClassVar = "advice limit 1s"
    once: ClassVar = True
    limit: Span = 1_000_000_000


class OverShare(Directive):
    places: ClassVar = ("value",)
    example: ClassVar = "over-share 0.1"
    once: ClassVar = True
    value: float = Field(0.1, ge=0, le=1)


class Clients(Directive):
    example: ClassVar = "clients way-back 25ms body 16m connections 10000"
    once: ClassVar = True
    way_back: Span = 25_000_000
    head: Size = Field(32768, ge=1024, le=1 << 20)
    body: Size = Field(16 << 20, ge=0, le=1 << 30)
    pipelined: int = Field(16, ge=1, le=1024)
    read: Span = Field(20_000_000_000, gt=0)
    idle: Span = Field(75_000_000_000, gt=0)
    connections: int = Field(10_000, ge=1)
    per_address: int = Field(2_000, ge=1)


class ReachLine(Directive):
    example: ClassVar = "reach connect 250ms probe 250ms order 10s connections 256 answer 64m"
    once: ClassVar = True
    connect: Span = Field(250_000_000, gt=0, le=400_000_000)
    probe: Span = Field(250_000_000, gt=0)
    order: Span = Field(10_000_000_000, gt=0)
    connections: int = Field(256, ge=1)
    answer: Size = Field(64 << 20, ge=1024)


class WeakWord(Directive):
    places: ClassVar = ("told",)
    example: ClassVar = "weak-word yes"
    once: ClassVar = True
    told: Yes = False


class Log(Directive):
    places: ClassVar = ("level",)
    example: ClassVar = "log info"
    once: ClassVar = True
    level: Literal["debug", "info", "warning", "error"] = "info"


class Decisions(Directive):
    places: ClassVar = ("made_by",)
    example: ClassVar = "decisions gaproute.decisions.route:Gateway"
    once: ClassVar = True
    made_by: str = Field("gaproute.decisions.route:Gateway", pattern=r"^[\w.]+:\w+$")

    def load(self):
        module, _, name = self.made_by.partition(":")
        return getattr(importlib.import_module(module), name)


HOST_WORDS = {"host": HostLine}
PEER_WORDS = {"peer": PeerLine}
WORDS = HOST_WORDS | {
    "name": Word,
    "listen": Listen,
    "hosts-file": HostsFile,
    "track": TrackLine,
    "model": ModelLine,
    "tenant": TenantLine,
    "peer": PeerLine,
    "peers-file": PeersFile,
    "memory": MemoryLine,
    "copies": Copies,
    "relays": Relays,
    "reports": Reports,
    "cold": Cold,
    "sizes": Sizes,
    "advice": Advice,
    "over-share": OverShare,
    "clients": Clients,
    "reach": ReachLine,
    "weak-word": WeakWord,
    "log": Log,
    "decisions": Decisions,
}
EFFECTS = {effect.value: effect for effect in face.Effect}
GROUPS = {"all": face.Group.ALL, "zone": face.Group.ZONE, "rack": face.Group.CELL}


class Charter:
    """A checked configuration: what the parts of the appliance are given when they start."""

    def __init__(self, file, found):
        def all_of(word):
            return [directive for name, directive in found if name == word]

        def one(word):
            return next(iter(all_of(word)), None) or WORDS[word].model_construct()

        self.file = file
        self.name = one("name").name
        self.listens = [(line.kind, line.where) for line in all_of("listen")]
        self.hosts = all_of("host")
        self.hosts_file = next(iter(all_of("hosts-file")), None)
        self.tracks = all_of("track")
        self.models = {line.name: line for line in all_of("model")}
        self.tenants = {line.name: place for place, line in enumerate(all_of("tenant"))}
        self.peers = all_of("peer")
        self.peers_file = next(iter(all_of("peers-file")), None)
        self.memory = next((line.path for line in all_of("memory")), None)
        self.clients, self.reach = one("clients"), one("reach")
        self.log_level, self.decisions = one("log").level, one("decisions").load()
        self.longest = max(line.limit for line in self.tracks)
        copies, relays, cold, reports = one("copies"), one("relays"), one("cold"), one("reports")
        self.sizes_told, self.weak_word = one("sizes").told, one("weak-word").told
        self.terms = face.Terms(
            tracks=tuple(
                face.Track(
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
            peers_allowed=False,     # they tell each other more, by their own way
            gateways=1,
            recall_allowed=relays.recall,
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
        """Makes this the charter of one of `count` processes: a name, and addresses but the clients', of its
        own; the others are its peers where it tells others at all."""
        base = self.name
        self.name = f"{base}-{number}"
        peers = [where for kind, where in self.listens if kind == "peers"]
        self.listens = [(kind, where if kind == "kserve" else _seated(where, number))
                        for kind, where in self.listens]
        if self.memory is not None:
            self.memory = f"{self.memory}.{number}"
        if peers and not self.peers_file:
            self.peers = self.peers + [PeerLine(name=f"{base}-{other}", where=_seated(peers[0], other))
                                       for other in range(count + 1) if other != number]


def _seated(where, seat):
    """The address of a seat beside others of the same configuration: the path or the port counted on."""
    if where.startswith("unix:"):
        return f"{where}.{seat}"
    host, _, port = where.rpartition(":")
    return f"{host}:{int(port) + seat if int(port) else 0}"


def read_charter(file, text=None):
    """The charter of a file. Errors: `Mistakes` with all that is wrong; nothing of a wrong file is used."""
    file = str(file)
    if text is None:
        text = read_text(file)
    found, mistakes, words = read_lines(file, text, WORDS)
    mistakes += _across(file, found, words)
    if not mistakes:
        try:
            return Charter(file, found)
        except (ImportError, AttributeError) as fault:
            mistakes.append(Mistake(file, 0, f"decisions: {fault}", f"right would be: {Decisions.example}"))
    raise Mistakes(sorted(mistakes, key=lambda mistake: mistake.line))


def read_hosts(file, text=None):
    """The `host` lines of a host list. Errors: `Mistakes`."""
    return _read_list(file, text, "host", HOST_WORDS)


def read_peers(file, text=None):
    """The `peer` lines of a list of gateways. Errors: `Mistakes`."""
    return _read_list(file, text, "peer", PEER_WORDS)


def _read_list(file, text, word, words):
    file = str(file)
    found, mistakes, _ = read_lines(file, read_text(file) if text is None else text, words)
    mistakes += twice(file, [(word, line) for _, line in found])
    if mistakes:
        raise Mistakes(mistakes)
    return [line for _, line in found]


def read_text(file):
    """The text of a file. Errors: `Mistakes`."""
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise Mistakes([Mistake(file, 0, f"cannot be read: {fault}", "name a readable text file")]) from None


def twice(file, found):
    """Mistakes for names that stand a second time."""
    first, mistakes = {}, []
    for word, line in found:
        if word in ("host", "track", "model", "tenant", "peer"):
            if (word, line.name) in first:
                mistakes.append(Mistake(file, line.line, f"{word} {line.name} stands a second time",
                                        f"keep line {first[word, line.name]} or this"))
            first.setdefault((word, line.name), line.line)
    return mistakes


def _across(file, found, words):
    """What only shows between lines."""
    mistakes = twice(file, found)
    tracks = [line.name for word, line in found if word == "track"]
    for word, cure in (
        ("listen", Listen.example),
        ("track", TrackLine.example),
        ("model", ModelLine.example),
    ):
        if word not in words:
            mistakes.append(Mistake(file, 0, f"no {word} line", f"right would be: {cure}"))
    if "host" not in words and "hosts-file" not in words:
        mistakes.append(
            Mistake(file, 0, "no host and no hosts-file line", f"right would be: {HostLine.example}")
        )
    if {"host", "hosts-file"} <= {word for word, _ in found}:
        line = next(line for word, line in found if word == "host")
        mistakes.append(
            Mistake(file, line.line, "hosts stand here and in a hosts-file", "keep one of the two")
        )
    if {"peer", "peers-file"} <= words.keys():
        line = next(line for word, line in found if word == "peer")
        mistakes.append(
            Mistake(file, line.line, "peers stand here and in a peers-file", "keep one of the two")
        )
    if "peers-file" in words and "name" not in words:
        mistakes.append(Mistake(file, 0, "a peers-file without a name line: which peer is this gateway?",
                                f"right would be: {Word.example}"))
    for word, line in found:
        if word == "weak-word" and line.told and not any(other == "listen" and listen.kind == "peers"
                                                         for other, listen in found):
            mistakes.append(Mistake(file, line.line, "weak-word yes without a listen peers line",
                                    "right would be: listen peers 127.0.0.1:8090"))
        if word == "model" and line.track not in tracks:
            mistakes.append(Mistake(file, line.line, f"model {line.name}: no track {line.track!r}",
                                    f"the tracks here: {', '.join(tracks) or 'none'}"))
    wheres = {}
    for word, line in found:
        if word == "listen" and line.where in wheres and not line.where.endswith(":0"):
            mistakes.append(Mistake(file, line.line, f"{line.where} is listened on twice",
                                    f"see line {wheres[line.where]}"))
        if word == "listen":
            wheres.setdefault(line.where, line.line)
    return mistakes
