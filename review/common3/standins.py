"""Stand-ins for the platform's store and for workers, with the standard library only."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

LOOPBACK = "127.0.0.1"
# Seconds between two looks of a waiting watch at the history.
WATCH_POLL_S = 0.005
# Seconds between two looks for leases that have ended.
LEASE_POLL_S = 0.02
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class HttpRequest:
    """One request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """The target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self):
        """The last value of each field of the query."""
        fields = parse_qs(urlsplit(self.target).query)
        return {name: values[-1] for name, values in fields.items()}


async def read_message(reader):
    """Returns first line, headers and body of a message; None at the end of a channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


async def read_request(reader):
    """Returns the next request of a channel, or None at its end."""
    try:
        first, headers, body = await read_message(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ")
    return HttpRequest(method, target, headers, body)


def encode_head(status, headers):
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Store:
    """The platform's store, by the page PROTOCOL and the letters.

    :ivar era: value of the header ``Store-Era``.
    :ivar is_up: it takes calls, also those of the operator and the workers.
    :ivar calls: number of calls by path.
    """

    def __init__(self):
        self.era = 1
        self.calls = {}
        self.revision = 10
        # Items: key to (value, revision, created, lease).
        self.items = {}
        # Changes: (revision, key, value or None, created, lease).
        self.history = []
        self.history_from = self.revision
        # Leases: id to [ttl in seconds, end].
        self.leases = {}
        self.next_lease = 100
        self.port = 0
        self.is_up = False
        self._server = None
        self._writers = set()
        self._expiry = None

    @property
    def address(self):
        """``host:port``."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        """Binds the listener, on the same port after a stop."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())
        self.is_up = True

    def stop(self):
        """Closes the listener and resets all channels."""
        self.is_up = False
        self._expiry.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def snapshot(self):
        """Returns a copy of the data."""
        fields = (self.revision, self.items, self.history, self.history_from)
        return copy.deepcopy((*fields, self.leases, time.monotonic()))

    def restore(self, snapshot):
        """Comes back from a copy; leases run on from where they were in it."""
        data = copy.deepcopy(snapshot)
        self.revision, self.items, self.history, self.history_from = data[:4]
        away_s = time.monotonic() - data[5]
        self.leases = {i: [ttl, end + away_s] for i, (ttl, end) in data[4].items()}
        self.era += 1

    def put(self, key, value):
        """Writes as the operator or a worker does; returns the revision."""
        self._change([(key, json.dumps(value).encode(), 0)], [])
        return self.revision

    def delete(self, key):
        """Removes a key as the operator or the platform does."""
        if key in self.items:
            self._change([], [key])

    def value(self, key):
        """Returns the value of a key, or None."""
        return self.items[key][0] if key in self.items else None

    def _change(self, writes, removed):
        self.revision += 1
        for key in removed:
            if self.items.pop(key, None):
                self.history.append((self.revision, key, None, 0, 0))
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, key, value, created, lease))

    async def _expire(self):
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._change([], keys)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                kind = request.path.split("/")[1]
                self.calls[kind] = self.calls.get(kind, 0) + 1
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data)),
                    ("Store-Era", self.era),
                ]
                writer.write(encode_head(status, headers) + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        query = request.query
        match request.path.split("/")[1]:
            case "kv-key":
                if query["key"] not in self.items:
                    return 404, {"as_of": self.revision}
                return 200, self._item(query["key"]) | {"as_of": self.revision}
            case "kv-range":
                return 200, self._range(query.get("prefix", ""), query.get("after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._transact(json.loads(request.body))
            case "kv-lease":
                ttl_ms = json.loads(request.body)["ttl_ms"]
                self.next_lease += 1
                end = time.monotonic() + ttl_ms / 1000
                self.leases[self.next_lease] = [ttl_ms / 1000, end]
                return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
            case "kv-keep":
                lease = int(request.path.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                ttl_s = self.leases[lease][0]
                self.leases[lease][1] = time.monotonic() + ttl_s
                return 200, {"ttl_ms": int(ttl_s * 1000)}
            case "kv-lease-end":
                lease = int(request.path.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        encoded = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": encoded,
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self._item(key) for key in keys[:500]],
            "truncated": len(keys) > 500,
            "as_of": self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if after > self.revision or after < self.history_from or era != self.era:
                return 410, {}
            events = []
            for revision, key, value, created, lease in self.history:
                if revision <= after or not key.startswith(prefix):
                    continue
                if value is None:
                    events.append({"key": key, "revision": revision, "tombstone": True})
                    continue
                events.append(
                    {
                        "key": key,
                        "revision": revision,
                        "value": base64.b64encode(value).decode(),
                        "created": created,
                        "lease": lease,
                    }
                )
            if events or time.monotonic() >= end:
                return 200, {"events": events, "as_of": self.revision}
            await asyncio.sleep(WATCH_POLL_S)

    def _transact(self, body):
        writes, removed = body.get("writes", ()), body.get("remove", ())
        keys = [row["key"] for row in writes] + list(removed)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in body.get("expected", ()):
            held = self.items.get(row["key"])
            if (held[1] if held else 0) != row["revision"]:
                return 412, {"items": []}
        leases = {row.get("lease", 0) for row in writes} - {0}
        if any(lease not in self.leases for lease in leases):
            return 404, {}
        self._change(
            [
                (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                for row in writes
            ],
            list(removed),
        )
        return 200, {"revision": self.revision}


class Run:
    """A request that a worker began to work on."""

    def __init__(self, request, worker, at):
        self.id = request.headers.get("x-attempt-id", "")
        self.worker = worker
        self.at = at
        self.method = request.method
        self.target = request.target
        self.headers = request.headers
        self.body = request.body


class Worker:
    """A plain worker that registers itself in the store and answers with the id.

    :param work_s: seconds that a request takes.
    :ivar runs: what it began to work on.
    """

    def __init__(self, store, name, service, zone="a", work_s=0.03, version="v1"):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.work_s = work_s
        self.state = "ready"
        self.slots = 8
        self.runs = []
        self.born = int(time.time() * 1000)
        self.port = 0
        self._server = None
        self._beats = None
        self._seq = 0

    async def start(self):
        """Binds the listener and begins with its liveness reports."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    def stop(self):
        """Ends the reports and the listener."""
        self._beats.cancel()
        self._server.close()

    def entry(self):
        """Returns what it says of itself."""
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
        }

    def report(self):
        """Writes the entry; it changes only when more than ``seq`` changes."""
        key = f"servers/{self.name}"
        entry = self.entry()
        held = self.store.value(key)
        known = json.loads(held) if held else {}
        known.pop("seq", None)
        self._seq += 1
        if known != entry:
            self.store.put(key, entry | {"seq": self._seq})

    async def _beat(self):
        while True:
            if self.store.is_up:
                self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answers one request."""
        attempt = request.headers.get("x-attempt-id", "")
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            headers = [("X-Instance-Id", self.name), ("Content-Length", 0)]
            writer.write(encode_head(status, headers))
            return
        if request.headers.get("x-expect-instance", self.name) != self.name:
            headers = [("X-Attempt-Id", attempt), ("Content-Length", 0)]
            writer.write(encode_head(421, headers))
            return
        self.runs.append(Run(request, self.name, time.monotonic()))
        await asyncio.sleep(self.work_s)
        body = attempt.encode()
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Seal", f"seal.{self.name}.{attempt}"),
            ("Content-Length", len(body)),
        ]
        writer.write(encode_head(200, headers) + body)
