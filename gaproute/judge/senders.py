"""Which gateway sent what a host saw: a task by its client's word, an order by the name it bears or else by
the tasks that came over the same connection, as a connection is opened by one gateway."""


class Senders:
    """`ends`: {task: [its events at the client]}; gateways are the numbers in `run`'s and clients' events."""

    def __init__(self, hosts, ends, run):
        self.tasks = {task: events[0]["gateway"] for task, events in ends.items()}
        started = [event for event in run if event["what"] == "started"]
        self.names = {event["gateway"]: event.get("name", str(event["gateway"])) for event in started}
        self.numbers = {name: number for number, name in self.names.items()}
        self.links = {}  # (host, its run, connection): gateway
        for host, runs in hosts.items():
            for place, events in enumerate(runs):
                for event in events:
                    if event["what"] == "task" and event["id"] in self.tasks:
                        self.links[host, place, event.get("link")] = self.tasks[event["id"]]

    def number(self, host, place, event):
        """The gateway's number, or its name where no number is known; None where nothing tells."""
        if event["what"] == "task":
            return self.tasks.get(event["id"])
        if event.get("gateway"):
            return self.numbers.get(event["gateway"], event["gateway"])
        return self.links.get((host, place, event.get("link")))

    def name(self, host, place, event):
        """The same as the name that `run` gives it; None where nothing tells."""
        number = self.number(host, place, event)
        return None if number is None else self.names.get(number, str(number))
