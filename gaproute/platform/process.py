"""One gateway of the platform: its parts wired, started, told anew and stopped. Decides nothing."""

import os
import signal
import traceback

from gaproute.connections import Lot
from gaproute.connections.descriptors import descriptors
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import RESTED, Admission, way_back
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.pooling import OWN, Pooling, share_out
from gaproute.decisions.routing import Gateway
from gaproute.discovery.changelog import events
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.fronts.jsonrpc.front import Front
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.loop import Loop
from gaproute.loop.connecting import short
from gaproute.loop.datagrams import Datagrams
from gaproute.loop.faults import Backoff, is_momentary_read
from gaproute.loop.streams import address
from gaproute.platform.configuration import (
    ConfigurationRefusedError,
    ConfigurationUnreadableError,
    read_configuration,
)
from gaproute.platform.log import Log
from gaproute.telemetry.record import FOLLOWED, Record

MILLI, SECOND = 1_000_000, 1_000_000_000
STATUS = 5 * SECOND  # between lines of status: a few of them in the shortest day
AGAIN, AGAIN_LONGEST = 200 * MILLI, 5 * SECOND  # until a file that could not be read is tried again
PEERS_FIRST, PEERS_LONGEST = 50 * MILLI, 5 * SECOND  # between tries to hear the peers
COMING = 600 * MILLI  # after SIGTERM, in which new connections come
STILL_COMING = COMING + 200 * MILLI  # until no more are accepted: the clients' time, and a turn or two
GRANTED = 700 * MILLI  # beyond the longest deadline, until SIGKILL may come after SIGTERM
LONGEST = 3 * SECOND  # what a longer deadline counts as there
AHEAD = 200 * MILLI  # of SIGKILL, by which connections are closed at the latest, in order


class Process:
    def __init__(self, path, loaded, name=None, listen=None, loop=None, log=None, followed=FOLLOWED):
        self.path = path
        self.configuration, self.terms, self.site = loaded
        self.name, self.listen = name or self.configuration.name, listen or self.configuration.listen
        self.loop = loop = loop or Loop()
        self.log = log or Log()
        loop.on_error = lambda error: self.log.error(
            "error", error=repr(error), trace="".join(traceback.format_exception(error))[-2000:]
        )
        seed = int(self.configuration.seed, 16)
        self.record = Record(self.log, self.site.tracks, followed)
        sockets = min(self.configuration.limits.sockets, descriptors())
        clients, to_hosts = share_out(sockets)
        self.hosts = JsonLinesClient(loop, Pooling(), self.site, to_hosts)
        self.hosts.on_removed = self.record.forget
        self.core = Core(
            loop, Gateway(seed, self.terms, loop.now()), self.terms, self.hosts, self.record, self.name
        )
        if self.core.gateway.ration.travel:
            self.hosts.order_time = min(self.hosts.order_time, self.core.gateway.ration.travel)
        Lot.of(loop).admission = Admission(
            clients, clients + 1, sockets, Chance(seed + 3), RESTED, patient=True, reserve=to_hosts + OWN
        )
        self.lister = MemberConverter(loop, self.site.zones)
        self.seed, self.sockets = seed, sockets
        self.front = self.follower = self.peers = None
        self.stopping = False
        self.closing = self.granted = 0  # once it stops: when connections are closed, when it has left
        self.again, self.reload_backoff = None, Backoff(AGAIN, AGAIN_LONGEST)  # of a file not read yet
        self.peers_timer, self.peers_backoff = None, Backoff(PEERS_FIRST, PEERS_LONGEST)

    def start(self):
        """Errors: OSError where the address cannot be listened on; it may be called again then."""
        self.front = Front(
            self.loop,
            address(self.listen),
            self.core,
            self.site.tracks,
            self.terms.request_classes,
            self.ready,
            way_back(),
        )
        self.front.refused = lambda code, text: self.log.info("refused", code=code, text=text[:200])
        if self.terms.peers_allowed and self.configuration.peer_listen and self.configuration.peers_all:
            self.hear_peers()
        last, known = events.decode_initial(self.configuration.known)
        for event in known:
            self.told(event)
        self.follower = ChangeLogWatcher(
            self.loop, self.configuration.changelog, last, self.told, Chance(self.seed + 1), known
        )
        self.log.info(
            "started",
            name=self.name,
            listen=self.front.address,
            hosts=len(self.hosts.hosts),
            sockets=self.sockets,
            clients=Lot.of(self.loop).admission.most,
            to_hosts=self.hosts.max_connections,
            limits=self.configuration.limits,
            reported=self.site.reported,
            prices=self.configuration.settings.get("prices"),
            gateways=self.terms.gateways,
        )
        self.status()

    def hear_peers(self):
        """Without others a gateway serves by its own probes: no reason not to start. It goes on trying."""
        self.peers_timer = None
        try:
            self.peers = Datagrams(self.loop, self.configuration.peer_listen, self.core.told)
        except OSError as fault:
            if not self.peers_backoff.begun:
                self.log.warning("no peers", listen=self.configuration.peer_listen, error=str(fault))
            self.peers_timer = self.loop.after(self.peers_backoff.next(), self.hear_peers)
            return
        if self.peers_backoff.begun:
            self.log.info("peers", listen=self.configuration.peer_listen)
        self.core.tell = lambda words: self.peers.send(words, self.configuration.peers_all)

    def told(self, event):
        absent_at = self.follower.current_at if self.follower is not None else None
        rows = self.lister.endpoints(event.fleet, absent_at)
        complete = event.fleet.complete
        self.hosts.update(rows, complete=complete)
        self.core.listed([row.listed for row in rows], complete)
        self.log.info(
            "list",
            seq=event.seq,
            complete=complete,
            rows=[[row.listed.host, row.address, row.listed.state.value] for row in rows[:64]],
        )

    def ready(self):
        return not self.stopping and any(host.active for host in self.hosts.hosts.values())

    # Signals

    def heed_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)

    def reload(self):
        """The file anew: the log's address may have moved. A file that cannot be used changes nothing; one
        that cannot be read for a moment is tried again until it can."""
        self.reload_backoff.reset()
        self._reload()

    def _reload(self):
        if self.again is not None:
            self.again.cancel()
            self.again = None
        try:
            configuration = read_configuration(self.path).configuration
        except ConfigurationRefusedError as fault:
            self._not_reloaded(fault)
            return
        self.log.info("configuration", changelog=configuration.changelog)
        self.configuration = configuration
        if self.follower is not None:
            self.follower.set_address(configuration.changelog)

    def _not_reloaded(self, fault):
        if isinstance(fault, ConfigurationUnreadableError) and is_momentary_read(fault.cause):
            short(self.loop, fault.cause)
            self.log.warning("configuration not read yet", text=str(fault))
            self.again = self.loop.after(self.reload_backoff.next(), self._reload)
        else:
            self.log.error("configuration refused", text=str(fault))

    def stop(self):
        """Goes on serving: new connections while they still come, the open ones until shortly before SIGKILL
        may come. Then they are closed in order, and the process leaves; sooner where none is left.

        In a turn that finds itself late the signal may have come as long ago: the time granted counts from
        then."""
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", held=len(self.core.held))
        now = self.loop.now()
        began = now - self.loop.behind
        self.closing, self.granted = schedule(
            [track.hard_limit for track in self.terms.request_classes], began, now
        )
        self.core.end_by(self.closing - way_back())
        self.loop.at(self.granted, self.loop.stop)  # first: an error must not keep the process
        self.loop.at(self.closing, self.front.stop)
        self.loop.at(min(began + STILL_COMING, self.closing), self.shut)

    def shut(self):
        """Accepts no new connections, and leaves once the last of the open ones is closed."""
        self.core.emptied = self.front.emptied = self.leave
        self.front.shut()
        self.leave()

    def leave(self):
        """Ends the loop once all is answered and the answers are taken: each connection closes when the other
        side has read to its end."""
        if not self.core.held and not self.front.held:
            self.loop.stop()

    def run(self):
        self.loop.run()
        self.loop.guard(self.status)
        self.log.info("stopped", held=len(self.core.held), connections=self.front.held)
        for timer in (self.again, self.peers_timer):
            if timer is not None:
                timer.cancel()
        for part in (self.front, self.follower, self.hosts, self.peers):
            if part is not None:
                self.loop.guard(part.close)

    # For whoever reads the log

    def status(self):
        self.loop.after(STATUS, self.status)  # first: a line that fails must not be the last
        hosts, front, gateway = self.hosts, self.front, self.core.gateway
        held = {
            name: [len(host.links), sum(len(link.open) for link in host.links)]
            for name, host in hosts.hosts.items()
            if host.links
        }
        believed = {
            worker.id: [
                round(gateway.queued(worker, 1, self.loop.now()), 1),
                round(worker.slow, 1),
                len(worker.out),
            ]
            for worker in gateway.fleet
            if worker.out or worker.slow > 1
        }
        self.log.info(
            "status",
            held=len(self.core.held),
            counts=self.record.table(),
            links=held,
            believed=believed,
            clients=Lot.of(self.loop).held,
            parked=front.parked,
            faults=front.faults,
            turned_away=front.turned_away,
            deaf=front.deaf,
            displaced=Lot.of(self.loop).displaced,
            opened=hosts.opened,
            reused=hosts.reused,
            doubled=hosts.multiplexed,
            spoilt=hosts.malformed,
            strays=hosts.unmatched,
            late_turns=self.loop.late_turns,
            descriptors=had(lambda: len(os.listdir("/proc/self/fd"))),
            memory_mb=had(memory),
            cpu_s=round(sum(os.times()[:2]), 2),
            members_refused=self.lister.rejected,
            log_asked=self.follower.connection_count if self.follower else 0,
            log_anew=self.follower.restarts if self.follower else 0,
            log_fault=self.follower.last_error if self.follower else "",
            log_seq=self.follower.last_seq if self.follower else 0,
            log_silent_ms=(self.loop.now() - self.follower.last_message_at) // MILLI if self.follower else 0,
        )


def schedule(deadlines, began, now):
    """(when open connections are closed, when the process has left) after a SIGTERM that came at `began` and
    is heeded `now`; ns.

    SIGKILL may come after the longest of the deadlines and `GRANTED`. With short deadlines that is soon after
    the last clients have come: the closing then takes half of the time between.
    """
    killed = min(max(deadlines), LONGEST) + GRANTED
    ahead = min(AHEAD, (killed - COMING) // 2)
    closing = max(now, began + killed - ahead)
    return closing, closing + ahead // 2


def had(figure):
    """None where it cannot be had: reading it takes a descriptor."""
    try:
        return figure()
    except OSError:
        return None


def memory():
    with open("/proc/self/statm") as file:
        return round(int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 2**20, 1)
