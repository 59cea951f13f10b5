"""Rule 1: each request taken has exactly one final answer in time, and nothing is sent for it after that, nor
once its client has gone; the deadline passed on is never longer than the client's. Imports nothing that it
judges.

Trouble at hosts, or with other clients, frees no request of its answer (`gaproute.judge.downtime`)."""

from gaproute.judge.facts import CLIENT_GONE, DEADLINE_SLACK, MILLI, Broken, Kind


def answers(facts, day):
    """[Broken] of rule 1."""
    yield from _strays(day)
    for task, ends in day.ends.items():
        if len(ends) > 1:
            yield Broken(1, ends[1]["at"], f"task {task}: {len(ends)} ends", Kind.SECOND_ANSWER)
        yield from _final(facts, day, task, ends[0])
        yield from _sent_after(facts, day, task, ends[0])
        yield from _deadlines(facts, day, task, ends[0])


def _strays(day):
    for event in day.clients:
        if event["what"] == "stray":
            more = f": {event['text']}" if "text" in event else ""
            text = f"gateway {event['gateway']} sent an answer that nobody asked for{more}"
            yield Broken(1, event["at"], text, Kind.STRAY)


def _final(facts, day, task, end):
    """The final answer: whether there was one, in time, that names an outcome."""
    what, at = end["what"], end["at"]
    if what == "answer":
        if not end["outcome"] and end["status"] >= 500:
            yield Broken(1, at, f"task {task}: status {end['status']} names no outcome", Kind.NO_OUTCOME)
    elif what in ("overdue", "broken") and not day.downtime.explains(end, facts.kill_after):
        if what == "overdue":
            told = f"task {task} ({end['track']}): no answer within its {end['patience'] // MILLI} ms"
        else:
            told = f"task {task}: the connection ended without an answer: {end['text']}"
        yield Broken(1, at, told, Kind.LOST)


def _sent_after(facts, day, task, end):
    """Attempts that arrive after the request's end, by more than they may have been on their way."""
    answered = end["what"] == "answer"
    allowed = facts.transit if answered else CLIENT_GONE + facts.late
    kind = Kind.AFTER_END if answered else Kind.AFTER_CLIENT
    for at, host, _ in day.arrivals.get(task, ()):
        if day.sent(end["gateway"], host, at) > end["at"] + allowed:
            text = f"task {task}: sent to {host} {(at - end['at']) // MILLI} ms after its end"
            yield Broken(1, at, text, kind)


def _deadlines(facts, day, task, end):
    """The deadlines told to hosts against what the client had left when the bytes were written."""
    due = end["asked"] + end["patience"]
    for at, host, event in day.arrivals.get(task, ()):
        if event.get("limit") is None:
            continue
        left = due - day.sent(end["gateway"], host, at)
        if event["limit"] > left + DEADLINE_SLACK + facts.late:
            text = (
                f"task {task}: {host} was told {event['limit'] // MILLI} ms, "
                f"{max(0, left) // MILLI} ms were left"
            )
            yield Broken(1, at, text, Kind.DEADLINE)
