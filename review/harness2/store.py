"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Calls are answered in order of arrival; writes are linearizable; nothing is lost.
`delay_s` is the time of an answer. `hold` may be set to a coroutine function that is
awaited before a call from a gateway is answered.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import wire

WATCH_PATH = "/api/kv-watch"
PAGE_ITEMS = 500
HISTORY_ITEMS = 5_000


class Store:
    """A key-value store with revisions, leases, pages and long-poll watches."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.delay_s = 0.004
        self.hold = None
        self.on_write = None
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    # What the operator and the replicas do. They use the same store; their calls are
    # made here directly.

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        former = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": former["created"] if former else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return self.revision
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _note(self, change):
        self.history.append(change)
        del self.history[:-HISTORY_ITEMS]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        if self.on_write:
            self.on_write(change)

    # The calls of the gateways.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await wire.read_request(reader)) is not None:
                if self.hold is not None:
                    await self.hold(request)
                status, document = await self._answer(request)
                body = b"" if document is None else json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == WATCH_PATH:
            return await self._watch(query)
        await asyncio.sleep(self.delay_s)
        self._end_leases()
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, {**item, "at": self.revision})
        if path == "/api/kv-range":
            return self._list_range(query)
        if path == "/api/kv-txn":
            return self._write(json.loads(request.body))
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl_ms = json.loads(request.body)["ttl_ms"]
            self.leases[self.last_lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        prefix, _, number = path.rpartition("/")
        lease = self.leases.get(int(number)) if number.isdigit() else None
        if lease is None:
            return 404, None
        if prefix == "/api/kv-keep":
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        lease[1] = 0.0
        self._end_leases()
        return 200, {}

    def _end_leases(self):
        now = time.monotonic()
        for number, (_, until) in list(self.leases.items()):
            if until <= now:
                del self.leases[number]
                held = [k for k, i in self.items.items() if i["lease"] == number]
                for key in held:
                    self.remove(key)

    def _list_range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "has_more": has_more, "at": self.revision}

    def _write(self, document):
        rows = document.get("expected_rev", [])
        now_at = [self.items.get(row["key"]) for row in rows]
        found = [0 if item is None else item["revision"] for item in now_at]
        if found != [row["revision"] for row in rows]:
            return 412, {"items": [item for item in now_at if item is not None]}
        for row in document.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, None
        for key in document.get("deletes", []):
            self.remove(key)
        for row in document.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._end_leases()
            if self.history and self.history[0]["revision"] > after + 1:
                if len(self.history) >= HISTORY_ITEMS:
                    return 410, None
            events = [
                change
                for change in self.history
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                changed = self._changed
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                pass
