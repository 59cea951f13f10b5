"""What holders ask of the leader: checked, written down once, answered when it is agreed on."""

from gaproute.shared.messages import NAME
from gaproute.shared.raft.messages import EntryKind, Reply
from gaproute.shared.raft.role import Role

MAX_PENDING_PER_CLIENT = 4  # requests of one holder that wait to be agreed on: it sends one at a time


def on_request(node, now, sender, request, out):
    def reply(state, body=b"", leader=""):
        out.append((sender, Reply(request.session, request.nonce, state, body, leader)))

    if not 0 < len(sender) <= NAME or not request.nonce:
        node.reject("request not understood")
        return
    if node.role != Role.LEADER:
        reply("elsewhere", leader=node.leader)
        return
    lead = node.leader_state
    if node.commit_index < lead.first_index:  # what was agreed before its term may not be known here yet
        reply("busy")
        return
    if request.session:
        row = node.sessions.table.get(request.session)
        why = (
            ""
            if row is None
            else "not the holder's own"
            if row[0] != sender
            else node.machine.check(sender, request.body)
        )
        if row is None:
            reply("forgotten")
            return
        if why or request.nonce < row[1]:
            node.reject("request refused")
            reply("refused", (why or "an old nonce").encode())
            return
        if request.nonce == row[1]:
            reply("done", row[2])
            return
    own = [(index, waits) for index, waits in lead.pending_replies.items() if waits[0] == sender]
    if any(waits[1:] == (request.session, request.nonce) for _, waits in own):
        return  # written down already: the answer is on its way
    body = request.body if request.session else sender.encode()
    index = 0
    if len(own) < MAX_PENDING_PER_CLIENT:
        index = node.propose(
            EntryKind.COMMAND if request.session else EntryKind.OPEN_SESSION,
            request.session,
            request.nonce,
            body,
        )
    if index:
        lead.pending_replies[index] = sender, request.session, request.nonce
    else:
        node.reject("busy")
        reply("busy")


def reply_to(node, index, answer, out):
    waits = node.leader_state.pending_replies.pop(index, None)
    if waits is not None:
        state, body, opened = answer
        holder, session, nonce = waits
        out.append((holder, Reply(session, nonce, state, body, "", opened)))
