"""The whole gateway: a task's path, and beside it the list, the probes and what is forgotten."""

from gaproute.decisions.routing.beliefs import MILLI, SECOND
from gaproute.decisions.routing.task import PAUSE, Serving
from gaproute.interface import PollHostList, Probe, Wait

PROBE_EVERY = 700 * MILLI  # between probes of one worker where reports come by probe only
TIDY = SECOND  # between looks for functions to forget: waking costs CPU, and they weigh little


class Gateway(Serving):
    def forget(self):
        """Workers that left the list with nothing out to them: a long life would hold each that ever was."""
        for name in [worker.id for worker in self.workers.values() if not (worker.active or worker.out)]:
            del self.workers[name]
            for function in self.functions.values():
                for table in (function.seen, function.stands, function.told):
                    table.pop(name, None)

    def housekeep(self, now):
        """Ask for the list where it must be asked for, probe where reports come no other way, and forget."""
        tidied = now
        while True:
            if self.asks_list:
                self.asks_list = False
                yield PollHostList()
            if self.probing and (worker := self.sharing.pick(now, self.fleet, PROBE_EVERY, self.chance)):
                yield Probe(worker.id)
            if now - tidied >= TIDY:
                tidied = now
                self.forget()
                known, since = self.functions.items(), now - 4 * self.keep_alive
                self.functions = {name: of for name, of in known if of.ordered or of.used >= since}
            rest = PROBE_EVERY // max(1, len(self.fleet)) if self.sharing.may() else PAUSE
            now, _ = yield Wait(now + (rest if self.probing else TIDY))
