"""Small HTTP stand-in for router and agent, so that tests need no product process.

It accepts the command lines of both. With ``--backend`` it is an agent that forwards
requests to its backend server; otherwise it is a router that selects agents by hash.
"""

import argparse
import asyncio

import xxhash

from emulator.standin import wait_for_stop_signal, write_ready_file
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient
from heatherswitch.util.http_server import HttpServer

FLAGS = ["id", "zone", "service", "version", "backend", "store", "peers", "ready-file"]
FLAGS += ["advertise"]
LISTENERS = ["listen", "operator-listen", "metrics-listen", "peer-listen"]


async def forward(address, request, responder, path) -> None:
    """Forwards a request to an address and streams the response back."""
    client = HttpClient.from_address(address)
    try:
        headers = [h for h in request.headers if h[0] not in ("host", "content-length")]
        response = await client.request(request.method, path, headers, request.body)
        kept = [h for h in response.headers if h[0] != "transfer-encoding"]
        await responder.start(response.status, kept)
        async for chunk in response.chunks():
            await responder.write(chunk)
        await responder.finish()
    finally:
        client.close()


class FakeRouter:
    """Router that keeps announced agents, settings and zones out of service in memory.

    :param peers: addresses of the routers to which it copies operators' zone changes.
    """

    def __init__(self, peers: list[str]) -> None:
        self.peers = peers
        self.agents: dict[str, dict] = {}
        self.zones_out: set[str] = set()
        self.nodes: dict = {}

    async def serve(self, request, responder) -> None:
        """Handles requests of callers, operators, agents and other routers."""
        parts = request.path.strip("/").split("/")
        if request.path == "/announce":
            agent = request.json()
            self.agents[agent["id"]] = agent
        elif parts[:2] == ["v1", "apply"]:
            self.nodes.update(request.json()["nodes"])
        elif parts[:2] == ["v1", "zones"]:
            (self.zones_out.add if parts[3] == "out" else self.zones_out.discard)(
                parts[2]
            )
            if request.header("authorization"):
                for peer in self.peers:
                    client = HttpClient.from_address(peer)
                    try:
                        await client.request_json("POST", request.path, {})
                    except HttpError:
                        continue
        else:
            await self.route(request, responder, parts)
            return
        await responder.send_json(200, {})

    async def route(self, request, responder, parts) -> None:
        """Selects an agent by the hash of the request's key and forwards the request."""
        path = request.path
        service = request.json()["model"] if "chat" in parts else parts[0]
        if "chat" not in parts:
            path = path.removeprefix(f"/{service}")
        key = request.header("idempotency-key") or request.header("x-chat-id")
        # Requests with an idempotency key stay with their agent, which recognizes
        # retries.
        sticky = bool(request.header("idempotency-key"))
        candidates = [
            agent
            for agent in self.agents.values()
            if agent["service"] == service
            and (sticky or agent["zone"] not in self.zones_out)
        ]
        if not candidates:
            await responder.send_json(503, {"error": {"retry": "later"}})
            return
        best = max(
            candidates,
            key=lambda agent: xxhash.xxh3_64_hexdigest((key + agent["id"]).encode()),
        )
        await forward(best["address"], request, responder, path)


async def main(options) -> None:
    """Runs the router or agent until SIGTERM."""
    peers = [peer for peer in options.peers.split(",") if peer]
    router = FakeRouter(peers)

    async def agent(request, responder) -> None:
        await forward(options.backend, request, responder, request.target)

    servers = {}
    for name in LISTENERS:
        address = getattr(options, name.replace("-", "_"))
        if address:
            server = HttpServer(agent if options.backend else router.serve)
            host, port = address.rsplit(":", 1)
            await server.start(host, int(port))
            servers[name] = server
    bound = {name: f"127.0.0.1:{server.port}" for name, server in servers.items()}
    if options.backend:
        names = {"peer": "listen", "metrics": "metrics-listen"}
        announcement = {**vars(options), "address": bound["listen"]}
        for peer in peers:
            await announce(peer, announcement)
    else:
        names = {"caller": "listen", "peer": "peer-listen"}
        names |= {"operator": "operator-listen", "metrics": "metrics-listen"}
    write_ready_file(options.ready_file, {k: bound[v] for k, v in names.items()})
    await wait_for_stop_signal()
    await asyncio.gather(*(server.stop(1.0) for server in servers.values()))


async def announce(peer: str, announcement: dict) -> None:
    """Registers an agent with a router, retrying until the router listens."""
    for _ in range(200):
        try:
            client = HttpClient.from_address(peer)
            await client.request_json("POST", "/announce", announcement)
            return
        except HttpError:
            await asyncio.sleep(0.05)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for flag in (*FLAGS, *LISTENERS):
        parser.add_argument(f"--{flag}", default="")
    asyncio.run(main(parser.parse_args()))
