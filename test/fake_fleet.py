"""Small HTTP stand-in for router and agent, so that tests need no product program.

It takes the command lines of both: with ``--backend`` it is an agent, which passes
requests on; otherwise it is a router, which picks agents by hash.
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
    """Passes a request on and its answer back."""
    client = HttpClient.from_address(address)
    try:
        headers = [h for h in request.headers if h[0] not in ("host", "content-length")]
        answer = await client.request(request.method, path, headers, request.body)
        kept = [h for h in answer.headers if h[0] != "transfer-encoding"]
        await responder.start(answer.status, kept)
        async for chunk in answer.chunks():
            await responder.write(chunk)
        await responder.finish()
    finally:
        client.close()


class FakeRouter:
    """Knows agents that announce themselves, settings and zones that are out."""

    def __init__(self, peers: list[str]) -> None:
        self.peers = peers
        self.agents: dict[str, dict] = {}
        self.zones_out: set[str] = set()
        self.nodes: dict = {}

    async def serve(self, request, responder) -> None:
        """Handles callers, operators and peers alike."""
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
        """Picks an agent by the request's key and passes the request on."""
        path = request.path
        service = request.json()["model"] if "chat" in parts else parts[0]
        if "chat" not in parts:
            path = path.removeprefix(f"/{service}")
        key = request.header("idempotency-key") or request.header("x-chat-id")
        # A request with a key stays with its agent, which recognises repeats.
        sticky = bool(request.header("idempotency-key"))
        live = [
            agent
            for agent in self.agents.values()
            if agent["service"] == service
            and (sticky or agent["zone"] not in self.zones_out)
        ]
        if not live:
            await responder.send_json(503, {"error": {"retry": "later"}})
            return
        best = max(
            live,
            key=lambda agent: xxhash.xxh3_64_hexdigest((key + agent["id"]).encode()),
        )
        await forward(best["address"], request, responder, path)


async def main(options) -> None:
    """Runs until SIGTERM."""
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
    """Tells a router about an agent, as soon as it listens."""
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
