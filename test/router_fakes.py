"""Fleet state, configuration and a fake gRPC agent for tests of the router."""

import asyncio
import gc
import hashlib
import json
from types import SimpleNamespace

import grpc

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberTable, Role
from heatherswitch.fleet.settings import node_key
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.statecore.hashing import checksum64
from heatherswitch.statecore.replica import Entry

API_KEY = "key-of-w1"
ROUTES = [
    {"path": "/settle", "methods": ["POST"], "idempotent": False},
    {"path": "/lots", "methods": ["GET"], "idempotent": True},
]
NODES = {
    "/service=chat": {"kind": "engine", "limits": {"progress_timeout_s": 3}},
    "/service=ledger": {"kind": "plain", "routes": ROUTES},
    "/workspace=w1": {
        "api_key_digests": [hashlib.sha256(API_KEY.encode()).hexdigest()],
        "limits": {"body_bytes": 2000},
    },
}


def fleet_config(nodes=None):
    config = FleetConfig()
    nodes = NODES if nodes is None else nodes
    entries = [
        Entry(node_key(path), revision, json.dumps(value).encode())
        for revision, (path, value) in enumerate(nodes.items(), 1)
    ]
    errors = config.apply(entries)
    assert not errors, errors
    return config


def agent(agent_id, zone="z1", service="chat", version="v1", address="127.0.0.1:1"):
    return Member(
        agent_id, Role.AGENT, zone, address, 1, service=service, version=version
    )


def table(*members, now=0.0):
    members_table = MemberTable()
    members_table.merge(now, members)
    return members_table


def event(request_id, **fields):
    return pb.ExecuteEvent(request_id=request_id, **fields)


def response_events(request_id, body=b"hello", **done):
    """Returns the events of a complete response in two chunks.

    :param done: fields that replace those of the final event.
    """
    half = len(body) // 2
    done = {"length": len(body), "checksum": checksum64(body)} | done
    return [
        event(request_id, accepted=pb.Accepted(incarnation=1)),
        event(request_id, head=pb.ResponseHead(status=200)),
        event(request_id, chunk=pb.Chunk(offset=0, data=body[:half])),
        event(request_id, chunk=pb.Chunk(offset=half, data=body[half:])),
        event(request_id, done=pb.Done(**done)),
    ]


class FakeAgent(pb_grpc.AgentServicer):
    """Sends scripted events; at ``None`` in a script it hangs without an event."""

    def __init__(self):
        self.requests = []
        self.resumes = []
        self.peers = []
        self.script = lambda request: response_events(request.request_id)
        self.resume_script = lambda request: []

    async def start(self, agent_id, **fields):
        self._server = grpc.aio.server()
        pb_grpc.add_AgentServicer_to_server(self, self._server)
        port = self._server.add_insecure_port("127.0.0.1:0")
        await self._server.start()
        return agent(agent_id, address=f"127.0.0.1:{port}", **fields)

    async def stop(self):
        server, self._server = self._server, None
        if server is not None:
            await server.stop(0)
        # If the garbage collector frees the server later, it disturbs the event loop of
        # another test.
        del server
        gc.collect()

    async def Execute(self, request, context):  # noqa: N802
        self.requests.append(request)
        self.peers.append(context.peer())
        async for item in self._play(self.script(request)):
            yield item

    async def Resume(self, request, context):  # noqa: N802
        self.resumes.append(request)
        self.peers.append(context.peer())
        async for item in self._play(self.resume_script(request)):
            yield item

    async def _play(self, script):
        for item in script:
            if item is None:
                await asyncio.Event().wait()
            yield item


class RecordingSink:
    """Records the response that an attempt forwards."""

    def __init__(self):
        self.heads = []
        self.data = b""

    async def write_head(self, status, headers, replayed):
        self.heads.append((status, headers, replayed))

    async def write_body(self, data):
        self.data += data


def fleet_state(config, members):
    return SimpleNamespace(config=config, members=members, ready=True)
