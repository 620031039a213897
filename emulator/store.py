"""Stand-in for the platform's key-value store: a subset of the etcd v3 JSON gateway.

Source of the format: the published gateway (base64 keys and values, 64-bit numbers
as strings). Faults are switched by ``POST /_faults``; see :class:`Faults`.
"""

import argparse
import asyncio
import base64
import json
import logging
import os
import random
import time
from dataclasses import asdict, dataclass, fields

from emulator.store_data import CallStats, DataError, Stored, StoreData
from heatherswitch.util.http import BadRequest, HttpLimits, Request
from heatherswitch.util.http_server import HttpServer, Responder

log = logging.getLogger("emulator.store")

# Requests above this size are refused, as the platform's store does for values.
MAX_REQUEST_BYTES = 2 * 1024 * 1024
MAX_VALUE_BYTES = 1024 * 1024
# How often leases are checked for expiry, in seconds.
EXPIRY_PERIOD_S = 0.05


@dataclass(slots=True)
class Faults:
    """Faults in force; each request to ``/_faults`` replaces all of them.

    :param down: "close" (or true) closes each connection without an answer and
        "refuse" closes the listener; only the control address is served then.
    :param hang: accepts requests and never answers; nothing is applied.
    :param delay_ms: delay before a request is handled.
    :param lose_answer: answers to writes to lose after the write took effect: a
        count when 1 or more, a probability when below 1.
    :param seed: seed of the random numbers of ``lose_answer``.
    :param stale: range answers come from this many revisions in the past.
    """

    down: bool | str = False
    hang: bool = False
    delay_ms: float = 0
    lose_answer: float = 0
    seed: int = 1
    stale: int = 0


class StoreServer:
    """Serves the gateway and the control paths."""

    def __init__(self, history_limit: int, progress_s: float) -> None:
        self._data = StoreData(history_limit)
        self._stats = CallStats()
        self._faults = Faults()
        self._random = random.Random(1)
        self._progress_s = progress_s
        self._changed = asyncio.Condition()
        self._public = self._new_server()
        self._control = self._new_server()
        self._host = ""
        self._port = 0
        self._expiry: asyncio.Task | None = None

    def _new_server(self) -> HttpServer:
        return HttpServer(self.handle, HttpLimits(body_bytes=MAX_REQUEST_BYTES))

    async def start(self, host: str, port: int) -> dict[str, str]:
        """Binds both listeners and returns their addresses."""
        await self._public.start(host, port)
        await self._control.start(host, 0)
        self._host, self._port = host, self._public.port
        self._expiry = asyncio.create_task(self._expire_leases())
        return {
            "address": f"{host}:{self._port}",
            "control": f"{host}:{self._control.port}",
        }

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            before = self._data.revision
            self._data.expire(time.monotonic())
            if self._data.revision != before:
                await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        if request.path == "/_faults":
            await responder.send_json(200, asdict(self._set_faults(request)))
            return
        if request.path == "/_stats":
            await responder.send_json(200, self._stats.to_json())
            return
        kind = request.path.removeprefix("/v3/")
        self._stats.count(time.time(), kind)
        faults = self._faults
        if faults.down:
            raise ConnectionError("down")
        await asyncio.sleep(faults.delay_ms / 1000)
        if faults.hang:
            await asyncio.Event().wait()
        await self._serve(kind, request, responder)

    async def _serve(self, kind: str, request: Request, responder: Responder) -> None:
        calls = {
            "kv/range": self._range,
            "kv/txn": self._txn,
            "lease/grant": self._grant,
            "lease/keepalive": self._keep_alive,
            "lease/revoke": self._revoke,
        }
        body = request.json()
        try:
            if kind == "watch":
                await self._watch(body["create_request"], responder)
                return
            if kind not in calls:
                raise DataError(12, f"{request.path} is not implemented")
            answer = calls[kind](body)
        except DataError as error:
            value = {"error": str(error), "code": error.code, "message": str(error)}
            await responder.send_json(404 if error.code == 5 else 400, value)
            return
        except (KeyError, ValueError, TypeError) as error:
            raise BadRequest(400, f"invalid request: {error!r}") from error
        await self._notify()
        if kind not in ("kv/range", "lease/keepalive") and self._loses_answer():
            raise ConnectionError("answer lost")
        await responder.send_json(200, answer)

    def _set_faults(self, request: Request) -> Faults:
        if request.method != "POST":
            return self._faults
        values = request.json()
        unknown = set(values) - {field.name for field in fields(Faults)}
        if unknown:
            raise BadRequest(400, f"unknown faults: {sorted(unknown)}")
        was_refusing = self._faults.down == "refuse"
        self._faults = Faults(**values)
        self._random = random.Random(self._faults.seed)
        if (self._faults.down == "refuse") != was_refusing:
            # Runs after this answer, which may use the public listener.
            asyncio.get_running_loop().call_later(0.01, self._switch_listener)
        return self._faults

    def _switch_listener(self) -> None:
        self._switching = asyncio.create_task(self._switch())

    async def _switch(self) -> None:
        if self._faults.down == "refuse":
            await self._public.stop(0)
        else:
            self._public = self._new_server()
            await self._public.start(self._host, self._port)

    def _loses_answer(self) -> bool:
        lost = self._faults.lose_answer
        if lost >= 1:
            self._faults.lose_answer = lost - 1
            return True
        return lost > 0 and self._random.random() < lost

    def _header(self, revision: int = 0) -> dict[str, str]:
        return {"revision": str(revision or self._data.revision), "raft_term": "1"}

    def _range(self, body: dict) -> dict:
        key, end = _bytes(body, "key"), _bytes(body, "range_end")
        revision = int(body.get("revision", 0))
        if self._faults.stale:
            oldest = max(self._data.compacted, 1)
            revision = max(self._data.revision - self._faults.stale, oldest)
        items = self._data.range(key, end, revision)
        kvs = [_kv(item) for item in items]
        header = self._header(revision if self._faults.stale else 0)
        return {"header": header, "kvs": kvs, "count": str(len(kvs))}

    def _txn(self, body: dict) -> dict:
        succeeded = all(
            self._data.compare(
                _bytes(c, "key"),
                c.get("result", "EQUAL"),
                int(c.get("mod_revision", 0)),
            )
            for c in body.get("compare", [])
        )
        puts, deletes, answers = [], [], []
        for operation in body.get("success" if succeeded else "failure", []):
            if put := operation.get("request_put"):
                value = _bytes(put, "value")
                if len(value) > MAX_VALUE_BYTES:
                    raise DataError(3, "etcdserver: request is too large")
                puts.append((_bytes(put, "key"), value, int(put.get("lease", 0))))
                answers.append({"response_put": {}})
            elif delete := operation.get("request_delete_range"):
                deletes.append((_bytes(delete, "key"), _bytes(delete, "range_end")))
                answers.append({"response_delete_range": {}})
            else:
                raise DataError(12, "only puts and deletes are implemented")
        self._data.write(puts, deletes)
        # The gateway leaves out fields with default values.
        return {"header": self._header(), "responses": answers} | (
            {"succeeded": True} if succeeded else {}
        )

    def _grant(self, body: dict) -> dict:
        ttl = int(body["TTL"])
        lease = self._data.grant(time.monotonic(), ttl)
        return {"header": self._header(), "ID": str(lease), "TTL": str(ttl)}

    def _keep_alive(self, body: dict) -> dict:
        ttl = self._data.keep_alive(time.monotonic(), int(body["ID"]))
        result = {"header": self._header(), "ID": str(body["ID"])}
        return {"result": result | ({"TTL": str(int(ttl))} if ttl else {})}

    def _revoke(self, body: dict) -> dict:
        self._data.revoke(int(body["ID"]))
        return {"header": self._header()}

    async def _watch(self, body: dict, responder: Responder) -> None:
        key, end = _bytes(body, "key"), _bytes(body, "range_end")
        revision = int(body.get("start_revision", 0)) or self._data.revision + 1
        await responder.start(200, [("Content-Type", "application/json")])
        await self._send(responder, {"created": True})
        if revision <= self._data.compacted:
            compacted = str(self._data.compacted + 1)
            await self._send(
                responder, {"canceled": True, "compact_revision": compacted}
            )
            await responder.finish()
            return
        while True:
            changes = self._data.changes(key, end, revision)
            revision = max(revision, self._data.revision + 1)
            if changes:
                events = [_event(change) for change in changes]
                await self._send(responder, {"events": events})
            elif not await self._wait_change(revision) and body.get("progress_notify"):
                await self._send(responder, {})

    async def _wait_change(self, revision: int) -> bool:
        """Waits for a change; returns False when the progress period ended first."""
        async with self._changed:
            try:
                async with asyncio.timeout(self._progress_s):
                    await self._changed.wait_for(
                        lambda: self._data.revision >= revision
                    )
            except TimeoutError:
                return False
        return True

    async def _send(self, responder: Responder, result: dict) -> None:
        if self._faults.down:
            raise ConnectionError("down")
        if self._faults.hang:
            await asyncio.Event().wait()
        line = {"result": {"header": self._header()} | result}
        await responder.write(json.dumps(line).encode() + b"\n")


def _bytes(body: dict, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _kv(item: Stored) -> dict[str, str]:
    value = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "value": base64.b64encode(item.value or b"").decode(),
    }
    return value | ({"lease": str(item.lease)} if item.lease else {})


def _event(change: Stored) -> dict:
    if change.value is not None:
        return {"kv": _kv(change)}
    key = base64.b64encode(change.key).decode()
    kv = {"key": key, "mod_revision": str(change.mod_revision)}
    return {"type": "DELETE", "kv": kv}


async def serve(options: argparse.Namespace) -> None:
    """Runs until the process is ended."""
    server = StoreServer(options.history, options.progress_s)
    addresses = await server.start(options.host, options.port)
    if options.ready_file:
        partial = options.ready_file + ".tmp"
        with open(partial, "w") as file:
            json.dump(addresses, file)
        os.replace(partial, options.ready_file)
    await asyncio.Event().wait()


def main() -> None:
    """Entry point of ``python -m emulator.store``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ready-file", default="")
    parser.add_argument("--history", type=int, default=10000, help="changes kept")
    parser.add_argument(
        "--progress-s", type=float, default=1.0, help="period of watch progress"
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
