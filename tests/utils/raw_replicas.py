"""Replicas of a service that send scripted bytes, and count what they run."""

import json
import os
import time

import eventlet

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n%b"
    b"Content-Length: 0\r\n\r\n"
)
UNNAMED_REFUSAL = REFUSAL % b""


class RawReplica:
    """A replica whose `answer` handles each request on a connection.

    `runs` has the ids of the requests that it ran, one entry a run.
    """

    def __init__(self, name, answer):
        self.id = f"i-{os.getpid()}-{name}"
        self.runs = []
        self.refused = set()
        self.is_leaving = False
        self.is_quiet = False
        self._answer = answer
        self._born = round(1000 * time.time())
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self._thread = eventlet.spawn(self._accept)

    def register(self, store, service, state="ready"):
        ip, port = self._listener.getsockname()
        entry = {
            "service": service,
            "address": f"{ip}:{port}",
            "zone": "zone-a",
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "seq_no": 1,
            "born": self._born,
        }
        store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            eventlet.spawn(self._serve, connection)

    def _serve(self, connection):
        try:
            while head := read_message(connection):
                self._answer(self, connection, find_id(head))
        except OSError:
            connection.close()

    def run(self, connection, request_id, took_s=0.0):
        """Run a request and send its success."""
        self.runs.append(request_id)
        eventlet.sleep(took_s)
        connection.sendall(build_success(request_id))

    def stop(self):
        self._thread.kill()
        self._listener.close()


def build_refusal(request_id, more=b""):
    return REFUSAL % (f"X-Request-Id: {request_id}\r\n".encode() + more)


def build_success(request_id, body=b"done", more=b""):
    lines = f"X-Request-Id: {request_id}\r\nX-Server-Stamp: s.{request_id}\r\n"
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 200 OK\r\n" + lines.encode() + more + length + b"\r\n" + body


def read_message(connection):
    """Return the head of the next request, empty at the end; its body is dropped."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        if not received:
            return b""
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            while len(body) < int(value):
                body += connection.recv(65_536)
    return head


def find_id(head):
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-request-id":
            return value.strip()
    return ""
