"""Stand-ins for the platform's parties, written from its public pages: a host of lines, the change log, a
client."""

import base64
import json

from gaproute.loop import Listener, Promise, Stream, connect
from gaproute.loop.addresses import address

SECOND = 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"  # of the change log's answer


class ScriptedServer:
    """Listens; keeps the streams it accepted and what came on each."""

    def __init__(self, loop, where="127.0.0.1:0"):
        self.loop, self.streams, self.came = loop, [], []
        self.listener = Listener(loop, address(where), self.accept)
        self.address = self.listener.address

    def accept(self, sock):
        buffer = bytearray()
        stream = Stream(self.loop, sock, lambda data: self.bytes(stream, buffer, data), lambda error: None)
        self.streams.append(stream)

    def close(self):
        self.listener.close()
        for stream in self.streams:
            stream.abort()


class ScriptedHost(ScriptedServer):
    """`answer(stream, command)` does what the test wants; by default everything is served at once."""

    def __init__(self, loop, answer=None, where="127.0.0.1:0"):
        super().__init__(loop, where)
        self.answer = answer or self.serve

    def bytes(self, stream, buffer, data):
        buffer += data
        while b"\n" in buffer:
            line, _, rest = bytes(buffer).partition(b"\n")
            buffer[:] = rest
            command = json.loads(line)
            self.came.append(command)
            self.answer(stream, command)

    def say(self, stream, command, kind, **told):
        stream.write(json.dumps({"type": kind, "req": command["req"]} | told).encode() + b"\n")

    def serve(self, stream, command):
        match command["type"]:
            case "go":
                self.say(stream, command, "served", meta={"tell": "w"}, data=command["data"])
            case "stat" | "ping":
                self.say(stream, command, "green", meta={"meter": "util:0.25;x0:0.5"})
            case "stage":
                self.say(stream, command, "served", meta={"copies": command["meta"]["copies"]})

    def seen(self, kind):
        return [command for command in self.came if command["type"] == kind]


class ScriptedChangeLog(ScriptedServer):
    """Answers each question with its head and the events that `script(last)` gives as raw bytes."""

    def __init__(self, loop, script=lambda last: b"", where="127.0.0.1:0", head=HEAD):
        super().__init__(loop, where)
        self.script, self.head = script, head

    def bytes(self, stream, buffer, data):
        buffer += data
        if b"\r\n\r\n" in buffer:
            fields = bytes(buffer).lower().split(b"last-event-id:")
            buffer.clear()
            last = int(fields[1].split(b"\r\n")[0])
            self.came.append(last)
            stream.write(self.head + self.script(last))


def event(number, *members, complete=False):
    """An event of the log; a member is (id, address, phase)."""
    told = {
        "seq": number,
        "fleet": {
            "revision": number,
            "complete": complete,
            "members": [
                {
                    "id": name,
                    "host_port": where,
                    "locality": "hall-a",
                    "flavor": "std",
                    "cell": 2,
                    "phase": phase,
                    "size": 4,
                    "up_since_ms": 0,
                }
                for name, where, phase in members
            ],
        },
    }
    return told


def sse(told):
    return b"id: %d\ndata: %b\n\n" % (told["seq"], json.dumps(told).encode())


class ScriptedClient:
    """One connection to a gateway. `answers` holds what came, parsed."""

    def __init__(self, loop, where):
        self.loop, self.answers, self.buffer, self.ended = loop, [], b"", False
        self.stream, self.waiting = None, []
        self.ready = Promise()
        connect(loop, address(where), SECOND, self.connected)

    def connected(self, sock, error):
        if error is not None:
            self.ended = True
            self.ready.fail(error)
            return
        self.stream = Stream(self.loop, sock, self.bytes, self.end)
        for data in self.waiting:
            self.stream.write(data)
        self.ready.set()

    def end(self, error):
        self.ended = True

    def bytes(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            size = int(head.split(b":")[1])
            if len(rest) < size:
                return
            self.answers.append(json.loads(rest[:size]))
            self.buffer = rest[size:]

    def send(self, data):
        if self.stream is None:
            self.waiting.append(data)
        else:
            self.stream.write(data)

    def message(self, body):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def ask(self, number, method="fault-check", **told):
        params = {
            "i": f"{number:016x}",
            "d": 3000,
            "o": "7f3a9c21e0b4d655",
            "arg": arg(b"body %d" % number),
            "extras": "memory_mb:512;lanes:2;load_ms:640",
        } | told
        self.message({"jsonrpc": "2.0", "id": number, "method": method, "params": params})


def arg(body):
    return base64.b64encode(body).decode()
