"""The clients: several processes that share one load, each with names, chance and a tap of its own."""

from gaproute.scenarios.clients import DayClients


class ClusterClients(DayClients):
    """The clients of appliances."""

    KIND = "clients"  # of the stand-ins

    def told_to(self, place, count):
        """What the process at that place is told, of so many."""
        seed = self.trial.seed * 100 + place
        told = self.settings(f"clients-{place}", self.request_classes(), seed, count)
        return told | {"habits": told["habits"] | self.own_habits(place)}

    def own_habits(self, place):
        """The habits in which the process at that place differs from all others."""
        return {"prefix": f"c{place}-"}

    def start(self):
        count, processes = self.trial.script.cluster.clients, self.trial.processes
        self.processes = [
            processes.start_stand_in(self.KIND, f"clients-{place}", self.told_to(place, count))
            for place in range(count)
        ]
