"""Tests of backend servers whose address cannot exist."""

import asyncio
import unittest

from emulator.platform.deployment import Deployment
from emulator.platform.server import Behaviour
from heatherswitch.gateway.model import Server
from heatherswitch.gateway.upstream import ConnectionPool
from heatherswitch.util.http import ConnectFailed
from heatherswitch.util.http_client import HttpClient

# A label of a domain name has 63 characters at most.
LONG_LABEL = "a" * 64
ADDRESSES = (
    (f"{LONG_LABEL}.example", 80),
    (".example", 80),
    ("a\x00b", 80),
    ("\ud800", 80),
    ("127.0.0.1", 70000),
    ("127.0.0.1", -1),
    ("127.0.0.1", 2**64),
)
# Bursts of concurrent requests, which one server can take.
BURSTS = 10
BURST_SIZE = 4


class ConnectFailuresTest(unittest.IsolatedAsyncioTestCase):
    """Guards against servers that fail each request but are not avoided."""

    async def test_address_that_cannot_exist_is_a_failed_connection(self):
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        for host, port in ADDRESSES:
            server = Server("s", 1, "ledger", host, port, "a", "v", 8, False, 0.0)
            client = HttpClient.from_address(f"{host}:{port}")
            with self.subTest(host=host, port=port):
                with self.assertRaises(ConnectFailed):
                    await pool.acquire(0.0, server, run_once=True)
                with self.assertRaises(ConnectFailed):
                    await client.request("GET", "/", timeout=1.0)

    async def test_server_with_a_host_name_that_cannot_exist_is_avoided(self):
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        good = await deployment.add_server("good", "ledger", Behaviour())
        entry = good.store_entry("ledger", address=f"{LONG_LABEL}.example:80")
        deployment.store.put("servers/odd", entry)
        await deployment.wait_until(lambda: deployment.gateway.routes_to("odd"))
        statuses = []
        for _ in range(BURSTS):
            calls = [deployment.call("/lookup/1") for _ in range(BURST_SIZE)]
            statuses += [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertEqual(statuses, [200] * BURSTS * BURST_SIZE)


if __name__ == "__main__":
    unittest.main()
