"""What holders ask of the leader: checked, written down once, answered when it is agreed on."""

from gaproute.shared.messages import NAME
from gaproute.shared.raft.messages import EntryKind, Reply
from gaproute.shared.raft.role import Role

EACH = 4  # requests of one holder that wait to be agreed on: it sends one at a time


def take(keeper, now, sender, request, out):
    def reply(state, body=b"", leader=""):
        out.append((sender, Reply(request.session, request.nonce, state, body, leader)))

    if not 0 < len(sender) <= NAME or not request.nonce:
        keeper.refuse("request not understood")
        return
    if keeper.role != Role.LEADER:
        reply("elsewhere", leader=keeper.leader)
        return
    lead = keeper.lead
    if keeper.commit < lead.first:  # what was agreed before its term may not be known here yet
        reply("busy")
        return
    if request.session:
        row = keeper.sessions.table.get(request.session)
        why = (
            ""
            if row is None
            else "not the holder's own"
            if row[0] != sender
            else keeper.machine.check(sender, request.body)
        )
        if row is None:
            reply("forgotten")
            return
        if why or request.nonce < row[1]:
            keeper.refuse("request refused")
            reply("refused", (why or "an old nonce").encode())
            return
        if request.nonce == row[1]:
            reply("done", row[2])
            return
    own = [(index, waits) for index, waits in lead.waiting.items() if waits[0] == sender]
    if any(waits[1:] == (request.session, request.nonce) for _, waits in own):
        return  # written down already: the answer is on its way
    body = request.body if request.session else sender.encode()
    index = 0
    if len(own) < EACH:
        index = keeper.propose(
            EntryKind.COMMAND if request.session else EntryKind.OPEN_SESSION,
            request.session,
            request.nonce,
            body,
        )
    if index:
        lead.waiting[index] = sender, request.session, request.nonce
    else:
        keeper.refuse("busy")
        reply("busy")


def answer(keeper, index, answer, out):
    waits = keeper.lead.waiting.pop(index, None)
    if waits is not None:
        state, body, opened = answer
        holder, session, nonce = waits
        out.append((holder, Reply(session, nonce, state, body, "", opened)))
