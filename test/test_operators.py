import json
import math
import unittest

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.members import Member, Role
from heatherswitch.fleet.records import MOVES_PREFIX
from heatherswitch.fleet.settings import node_key
from heatherswitch.router.operators import OperatorApi
from heatherswitch.util.http_client import HttpClient
from test.memory_store import MemoryStore

TOKEN = "operator-secret"


class OperatorApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        own = Member("r0", Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.node = FleetNode.from_config(lambda: own)
        api = OperatorApi.from_config(self.store, self.node, TOKEN, "r0")
        server = api.server()
        await server.start("127.0.0.1", 0)
        self.client = HttpClient.from_address(f"127.0.0.1:{server.port}")
        self.addAsyncCleanup(server.stop, 0)
        self.addCleanup(self.client.close)

    async def call(self, method, target, body=None, token=TOKEN):
        data = b"" if body is None else json.dumps(body).encode()
        headers = [("Authorization", f"Bearer {token}")] if token else []
        response = await self.client.request(method, target, headers, data)
        return response.status, json.loads(await response.read())

    async def put(self, path, revision=None, **overrides):
        body = {"overrides": overrides, "revision": revision}
        return await self.call("PUT", f"/v1/settings?path={path}", body)

    async def test_wrong_token_is_refused(self):
        # Reaching the listener must not be enough to change settings.
        for token in ("", "wrong", TOKEN + "x"):
            status, body = await self.call("GET", "/v1/settings", token=token)
            self.assertEqual((status, body["error"]["code"]), (401, "unauthorized"))

    async def test_change_takes_effect_at_once_and_is_explained(self):
        # An accepted change must not wait for the store watch.
        status, body = await self.put("/service=chat", share=3)
        self.assertEqual((status, body), (200, {"revision": 2}))
        _, effective = await self.call("GET", "/v1/effective?service=chat")
        self.assertEqual(effective["settings"]["share"], 3)
        _, explain = await self.call("GET", "/v1/explain?service=chat")
        self.assertIn(
            {"name": "share", "value": 3, "source": "/service=chat"}, explain["values"]
        )
        _, settings = await self.call("GET", "/v1/settings")
        self.assertEqual(settings["nodes"]["/service=chat"]["revision"], 2)
        status, _ = await self.call("DELETE", "/v1/settings?path=/service=chat")
        self.assertEqual(status, 200)
        self.assertNotIn("/service=chat", self.node.config.tree.nodes)

    async def test_conflict_returns_the_current_revision(self):
        # One operator must not overwrite the change of another.
        await self.put("/", 0, share=2)
        status, body = await self.put("/", 0, share=4)
        self.assertEqual((status, body["error"]["revision"]), (409, 2))
        self.assertEqual(body["error"]["outcome"], "not_run")

    async def test_store_outage_is_not_run(self):
        self.store.unavailable = True
        status, body = await self.put("/", share=2)
        self.assertEqual((status, body["error"]["outcome"]), (503, "not_run"))

    async def test_write_with_a_lost_response_is_read_back(self):
        # A change that the store accepted must not be reported as failed.
        self.store.lost_responses = 1
        self.assertEqual(await self.put("/", share=2), (200, {"revision": 2}))

    async def test_write_that_cannot_be_read_back_is_unknown(self):
        # "not run" would be wrong, as the store has accepted the change.
        commit = self.store.commit

        async def commit_and_lose_response(*arguments):
            self.store.lost_responses = 1
            try:
                return await commit(*arguments)
            finally:
                self.store.unavailable = True

        self.store.commit = commit_and_lose_response
        status, body = await self.put("/", 0, share=2)
        self.assertEqual((status, body["error"]["outcome"]), (504, "outcome_unknown"))

    async def test_invalid_input_is_rejected_with_the_allowed_values(self):
        # A typing error must not reach the fleet.
        status, body = await self.put("/zone=z1", zone_state="away")
        self.assertEqual((status, body["error"]["name"]), (400, "zone_state"))
        self.assertIn("in, out", body["error"]["message"])
        for method, target, value in (
            ("PUT", "/v1/settings", {"overrides": {}}),
            ("PUT", "/v1/settings?path=/", [1]),
            ("PUT", "/v1/settings?path=/", {"overrides": {"share": math.nan}}),
            ("PUT", "/v1/settings?path=/", {"overrides": {}, "revision": -1}),
            ("POST", "/v1/zones/z1/out", {"deadline_s": True}),
            ("POST", "/v1/apply", {"nodes": {"/": {}, "/zon=1": {}}}),
            ("GET", "/v1/effective?zone=z1&color=red", None),
        ):
            status, body = await self.call(method, target, value)
            self.assertEqual(status, 400, body)
        self.assertEqual(self.store.revision, 1)
        self.assertEqual((await self.call("GET", "/v1/nothing"))[0], 404)

    async def test_apply_writes_only_differences_in_bounded_transactions(self):
        # The store rejects a transaction that is too large.
        nodes = {f"/workspace=w{i}": {"share": 2} for i in range(250)}
        body = {"nodes": nodes, "dry_run": True}
        _, dry = await self.call("POST", "/v1/apply", body)
        self.assertEqual((len(dry["changed"]), self.store.revision), (250, 1))
        _, applied = await self.call("POST", "/v1/apply", {"nodes": nodes})
        self.assertEqual((len(applied["written"]), self.store.revision), (250, 4))
        _, again = await self.call("POST", "/v1/apply", {"nodes": nodes})
        self.assertEqual((again["changed"], self.store.revision), ([], 4))
        nodes["/workspace=w1"] = None
        status, body = await self.call(
            "POST", "/v1/apply", {"nodes": nodes, "revision": 1}
        )
        self.assertEqual((status, body["error"]["code"]), (409, "conflict"))

    async def test_zone_setting_and_its_move_are_one_transaction(self):
        # A zone must not be out without a move that tracks it.
        await self.put("/zone=z1", share=2)
        _, out = await self.call("POST", "/v1/zones/z1/out", {"deadline_s": 60})
        node = await self.store.get(node_key("/zone=z1"))
        move = await self.store.get(MOVES_PREFIX + out["move"])
        self.assertEqual(node.mod_revision, move.mod_revision)
        self.assertEqual(json.loads(node.value), {"share": 2, "zone_state": "out"})
        _, again = await self.call("POST", "/v1/zones/z1/out")
        self.assertEqual(again["move"], out["move"])
        _, back = await self.call("POST", "/v1/zones/z1/back")
        _, first = await self.call("GET", f"/v1/moves/{out['move']}")
        _, second = await self.call("GET", f"/v1/moves/{back['move']}")
        self.assertEqual((first["state"], second["state"]), ("taken_back", "running"))
        self.assertFalse(self.node.config.zone_is_out("", "z1", 0.0))

    async def test_version_is_started_once_and_taken_back(self):
        # A service must not have two running version moves.
        await self.put("/service=chat/version=v1", version_state="active")
        status, _ = await self.call("POST", "/v1/versions/chat/v1/start")
        self.assertEqual(status, 409)
        _, started = await self.call("POST", "/v1/versions/chat/v2/start")
        status, _ = await self.call("POST", "/v1/versions/chat/v3/start")
        self.assertEqual(status, 409)
        await self.call("POST", "/v1/versions/chat/v2/take-back")
        _, move = await self.call("GET", f"/v1/moves/{started['move']}")
        self.assertEqual((move["state"], move["from_version"]), ("taken_back", "v1"))
        self.assertTrue(self.node.config.version_is_closed("chat", "v2", 0.0))

    async def test_status_lists_members(self):
        agent = Member("a1", Role.AGENT, "z2", "127.0.0.1:2", 1, service="chat")
        self.node.members.merge(1.0, [agent])
        _, status = await self.call("GET", "/v1/status")
        self.assertEqual([m["id"] for m in status["members"]], ["r0", "a1"])
