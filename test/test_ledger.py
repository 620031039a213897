import asyncio
import unittest

from emulator.ledger import Ledger, LedgerConfig
from heatherswitch.util.http import ConnectionLost
from heatherswitch.util.http_client import HttpClient
from test.emulated import serve_app, set_faults


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    async def start_ledger(self, **values) -> HttpClient:
        return await self.enterAsyncContext(serve_app(Ledger(LedgerConfig(**values))))

    async def settle(self, client, key="k1", token="", path="/settle", timeout=5.0):
        headers = [
            ("Idempotency-Key", key),
            ("X-Workspace", "w1"),
            ("X-Request-Id", f"id-{key}"),
            ("X-Fencing-Token", token),
        ]
        response = await client.request("POST", path, headers, b"{}", timeout)
        await response.read()
        return response

    async def executions(self, client) -> list[dict]:
        _, body = await client.request_json("GET", "/_executions")
        return body["executions"]

    async def test_repeated_key_executes_again_without_the_idempotency_check(self):
        # Guards against a stand-in that hides that a settlement ran twice.
        client = await self.start_ledger()
        for _ in range(2):
            response = await self.settle(client)
        self.assertEqual(response.header("x-request-id"), "id-k1")
        executions = await self.executions(client)
        self.assertEqual([e["key"] for e in executions], ["k1", "k1"])
        self.assertEqual(executions[0]["workspace"], "w1")

    async def test_concurrent_repeats_of_a_checked_key_execute_once(self):
        # Guards against two concurrent repeats that both execute.
        client = await self.start_ledger(checks_idempotency=True)
        await asyncio.gather(*(self.settle(client) for _ in range(5)))
        self.assertEqual(len(await self.executions(client)), 1)

    async def test_older_fencing_token_is_rejected(self):
        # Guards against a request that a former owner of a partition sends late.
        client = await self.start_ledger(checks_fencing=True)
        for token, status in (("3", 200), ("2", 409), ("3", 200), ("x", 400)):
            response = await self.settle(client, token=token)
            self.assertEqual(response.status, status, token)
        self.assertEqual(len(await self.executions(client)), 2)

    async def test_lost_response_follows_an_execution(self):
        # Guards against a fault that loses the request instead of its response.
        client = await self.start_ledger()
        await set_faults(client, {"kind": "hang", "when": "after"})
        with self.assertRaises(ConnectionLost):
            await self.settle(client, timeout=0.3)
        await set_faults(client, {"kind": "error", "route": "/settle"})
        self.assertEqual((await self.settle(client, "k2")).status, 500)
        self.assertEqual([e["key"] for e in await self.executions(client)], ["k1"])

    async def test_route_names_are_configurable(self):
        # Guards against settings of the routes that have no effect.
        client = await self.start_ledger(actions=("/refund",), lookup="/orders")
        self.assertEqual((await self.settle(client, path="/refund")).status, 200)
        self.assertEqual((await self.settle(client, path="/settle")).status, 404)
        status, order = await client.request_json("GET", "/orders/o7")
        self.assertEqual((status, order["id"]), (200, "o7"))
