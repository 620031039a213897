"""Stand-in for the platform's key-value store: a subset of the etcd v3 JSON gateway.

It follows the published format of the gateway: base64 keys and values, 64-bit numbers
as strings. ``POST /_faults`` sets faults; see :class:`StoreFaults`.
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

from emulator.store_data import CallStats, KeyVersion, StoreData, StoreRequestError
from heatherswitch.util.http import BadRequest, HttpLimits, Request
from heatherswitch.util.http_server import HttpServer, Responder

log = logging.getLogger("emulator.store")

# Larger requests and values are rejected, as by the platform's store.
MAX_REQUEST_BYTES = 2 * 1024 * 1024
MAX_VALUE_BYTES = 1024 * 1024
# How often leases are checked for expiry, in seconds.
EXPIRY_PERIOD_S = 0.05


@dataclass(slots=True)
class StoreFaults:
    """Active faults; each ``POST /_faults`` replaces all of them.

    :param down: "close" (or true) closes each connection without a response.
        "refuse" closes the listener, so that only the control address is served.
    :param hang: accepts requests but never applies or responds to them.
    :param delay_ms: delay before a request is handled, in milliseconds.
    :param lose_answer: responses to writes that are lost after the write took effect:
        their number from 1 on, their probability below 1.
    :param seed: seed of the random numbers of ``lose_answer``.
    :param stale: range requests read this many revisions in the past.
    """

    down: bool | str = False
    hang: bool = False
    delay_ms: float = 0
    lose_answer: float = 0
    seed: int = 1
    stale: int = 0


class StoreServer:
    """HTTP server of the gateway and of the control paths ``/_faults`` and ``/_stats``.

    The control address serves the same paths, also while the public one is closed.
    """

    def __init__(self, history_limit: int, progress_s: float) -> None:
        self._data = StoreData(history_limit)
        self._stats = CallStats()
        self._faults = StoreFaults()
        self._random = random.Random(1)
        self._progress_s = progress_s
        self._data_changed = asyncio.Condition()
        self._public_server = self._new_server()
        self._control_server = self._new_server()
        self._host = ""
        self._port = 0
        self._expiry_task: asyncio.Task | None = None

    def _new_server(self) -> HttpServer:
        return HttpServer(self.handle, HttpLimits(body_bytes=MAX_REQUEST_BYTES))

    async def start(self, host: str, port: int) -> dict[str, str]:
        """Binds both listeners and returns their addresses by name."""
        await self._public_server.start(host, port)
        await self._control_server.start(host, 0)
        self._host, self._port = host, self._public_server.port
        self._expiry_task = asyncio.create_task(self._expire_leases())
        return {
            "address": f"{host}:{self._port}",
            "control": f"{host}:{self._control_server.port}",
        }

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            before = self._data.revision
            self._data.expire(time.monotonic())
            if self._data.revision != before:
                await self._notify_watchers()

    async def _notify_watchers(self) -> None:
        async with self._data_changed:
            self._data_changed.notify_all()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Applies the faults to a request and routes it to its handler."""
        if request.path == "/_faults":
            await responder.send_json(200, asdict(self._set_faults(request)))
            return
        if request.path == "/_stats":
            await responder.send_json(200, self._stats.to_json())
            return
        operation = request.path.removeprefix("/v3/")
        self._stats.count(time.time(), operation)
        faults = self._faults
        if faults.down:
            raise ConnectionError("connection closed by an injected fault")
        await asyncio.sleep(faults.delay_ms / 1000)
        if faults.hang:
            await asyncio.Event().wait()
        await self._serve(operation, request, responder)

    async def _serve(
        self, operation: str, request: Request, responder: Responder
    ) -> None:
        handlers = {
            "kv/range": self._handle_range,
            "kv/txn": self._handle_txn,
            "lease/grant": self._handle_grant,
            "lease/keepalive": self._handle_keep_alive,
            "lease/revoke": self._handle_revoke,
        }
        body = request.json()
        try:
            if operation == "watch":
                await self._handle_watch(body["create_request"], responder)
                return
            if operation not in handlers:
                raise StoreRequestError(12, f"{request.path} is not implemented")
            response = handlers[operation](body)
        except StoreRequestError as error:
            value = {"error": str(error), "code": error.code, "message": str(error)}
            await responder.send_json(404 if error.code == 5 else 400, value)
            return
        except (KeyError, ValueError, TypeError) as error:
            raise BadRequest(400, f"invalid request: {error!r}") from error
        await self._notify_watchers()
        if (
            operation not in ("kv/range", "lease/keepalive")
            and self._should_lose_response()
        ):
            raise ConnectionError("response dropped by an injected fault")
        await responder.send_json(200, response)

    def _set_faults(self, request: Request) -> StoreFaults:
        if request.method != "POST":
            return self._faults
        values = request.json()
        unknown = set(values) - {field.name for field in fields(StoreFaults)}
        if unknown:
            raise BadRequest(400, f"unknown faults: {sorted(unknown)}")
        was_refusing = self._faults.down == "refuse"
        self._faults = StoreFaults(**values)
        self._random = random.Random(self._faults.seed)
        if (self._faults.down == "refuse") != was_refusing:
            # Delayed until this response is sent, perhaps on the public listener.
            asyncio.get_running_loop().call_later(0.01, self._schedule_listener_switch)
        return self._faults

    def _schedule_listener_switch(self) -> None:
        self._switch_task = asyncio.create_task(self._switch_listener())

    async def _switch_listener(self) -> None:
        if self._faults.down == "refuse":
            await self._public_server.stop(0)
        else:
            self._public_server = self._new_server()
            await self._public_server.start(self._host, self._port)

    def _should_lose_response(self) -> bool:
        remaining = self._faults.lose_answer
        if remaining >= 1:
            self._faults.lose_answer = remaining - 1
            return True
        return remaining > 0 and self._random.random() < remaining

    def _response_header(self, revision: int = 0) -> dict[str, str]:
        return {"revision": str(revision or self._data.revision), "raft_term": "1"}

    def _handle_range(self, body: dict) -> dict:
        key, end = _decode_field(body, "key"), _decode_field(body, "range_end")
        revision = int(body.get("revision", 0))
        if self._faults.stale:
            oldest = max(self._data.compacted, 1)
            revision = max(self._data.revision - self._faults.stale, oldest)
        items = self._data.range(key, end, revision)
        kvs = [_encode_key_value(item) for item in items]
        header = self._response_header(revision if self._faults.stale else 0)
        return {"header": header, "kvs": kvs, "count": str(len(kvs))}

    def _handle_txn(self, body: dict) -> dict:
        succeeded = all(
            self._data.compare(
                _decode_field(comparison, "key"),
                comparison.get("result", "EQUAL"),
                int(comparison.get("mod_revision", 0)),
            )
            for comparison in body.get("compare", [])
        )
        puts, deletes, operation_responses = [], [], []
        for operation in body.get("success" if succeeded else "failure", []):
            if put := operation.get("request_put"):
                value = _decode_field(put, "value")
                if len(value) > MAX_VALUE_BYTES:
                    raise StoreRequestError(3, "etcdserver: request is too large")
                puts.append(
                    (_decode_field(put, "key"), value, int(put.get("lease", 0)))
                )
                operation_responses.append({"response_put": {}})
            elif delete := operation.get("request_delete_range"):
                deletes.append(
                    (_decode_field(delete, "key"), _decode_field(delete, "range_end"))
                )
                operation_responses.append({"response_delete_range": {}})
            else:
                raise StoreRequestError(12, "only puts and deletes are implemented")
        self._data.write(puts, deletes)
        # The gateway omits fields with default values.
        return {"header": self._response_header(), "responses": operation_responses} | (
            {"succeeded": True} if succeeded else {}
        )

    def _handle_grant(self, body: dict) -> dict:
        ttl = int(body["TTL"])
        lease = self._data.grant(time.monotonic(), ttl)
        return {"header": self._response_header(), "ID": str(lease), "TTL": str(ttl)}

    def _handle_keep_alive(self, body: dict) -> dict:
        ttl = self._data.keep_alive(time.monotonic(), int(body["ID"]))
        result = {"header": self._response_header(), "ID": str(body["ID"])}
        return {"result": result | ({"TTL": str(int(ttl))} if ttl else {})}

    def _handle_revoke(self, body: dict) -> dict:
        self._data.revoke(int(body["ID"]))
        return {"header": self._response_header()}

    async def _handle_watch(self, body: dict, responder: Responder) -> None:
        key, end = _decode_field(body, "key"), _decode_field(body, "range_end")
        revision = int(body.get("start_revision", 0)) or self._data.revision + 1
        await responder.start(200, [("Content-Type", "application/json")])
        await self._send_watch_result(responder, {"created": True})
        if revision <= self._data.compacted:
            compacted = str(self._data.compacted + 1)
            await self._send_watch_result(
                responder, {"canceled": True, "compact_revision": compacted}
            )
            await responder.finish()
            return
        while True:
            changes = self._data.changes(key, end, revision)
            revision = max(revision, self._data.revision + 1)
            if changes:
                events = [_encode_event(change) for change in changes]
                await self._send_watch_result(responder, {"events": events})
            elif not await self._wait_for_change(revision) and body.get(
                "progress_notify"
            ):
                await self._send_watch_result(responder, {})

    async def _wait_for_change(self, revision: int) -> bool:
        """Waits until the store reaches a revision.

        :returns: False if the progress period ends before.
        """
        async with self._data_changed:
            try:
                async with asyncio.timeout(self._progress_s):
                    await self._data_changed.wait_for(
                        lambda: self._data.revision >= revision
                    )
            except TimeoutError:
                return False
        return True

    async def _send_watch_result(self, responder: Responder, result: dict) -> None:
        if self._faults.down:
            raise ConnectionError("connection closed by an injected fault")
        if self._faults.hang:
            await asyncio.Event().wait()
        line = {"result": {"header": self._response_header()} | result}
        await responder.write(json.dumps(line).encode() + b"\n")


def _decode_field(body: dict, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _encode_key_value(item: KeyVersion) -> dict[str, str]:
    value = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "value": base64.b64encode(item.value or b"").decode(),
    }
    return value | ({"lease": str(item.lease)} if item.lease else {})


def _encode_event(change: KeyVersion) -> dict:
    if change.value is not None:
        return {"kv": _encode_key_value(change)}
    key = base64.b64encode(change.key).decode()
    kv = {"key": key, "mod_revision": str(change.mod_revision)}
    return {"type": "DELETE", "kv": kv}


async def serve(options: argparse.Namespace) -> None:
    """Serves until the process is killed."""
    server = StoreServer(options.history, options.progress_s)
    addresses = await server.start(options.host, options.port)
    if options.ready_file:
        temporary_path = options.ready_file + ".tmp"
        with open(temporary_path, "w") as file:
            json.dump(addresses, file)
        os.replace(temporary_path, options.ready_file)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the options and serves; entry point of ``python -m emulator.store``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ready-file", default="")
    parser.add_argument(
        "--history",
        type=int,
        default=10000,
        help="number of changes that are kept for watches and past reads",
    )
    parser.add_argument(
        "--progress-s",
        type=float,
        default=1.0,
        help="seconds between progress notifications of an idle watch",
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
