"""gRPC channels to agents, one per agent."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import grpc

# Time for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Largest message in either direction, in bytes.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

OPTIONS = (
    # Channels with equal options share connections by default; then a channel
    # opened because of silence would reuse the silent connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # Addresses are numbers, so that no proxy of the environment is used.
    ("grpc.enable_http_proxy", 0),
)


class Unreachable(Exception):
    """No connection to the agent was opened, so nothing was sent."""


class _Link:
    """One channel and the number of calls that use it."""

    __slots__ = ("address", "channel", "replaced", "users")

    def __init__(self, address: str) -> None:
        self.address = address
        self.channel = grpc.aio.insecure_channel(address, options=OPTIONS)
        self.users = 0
        self.replaced = False


class AgentChannels:
    """Keeps one channel per agent and replaces those that are silent."""

    __slots__ = ("_closing", "_links")

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}
        self._closing: set[asyncio.Task] = set()

    @contextlib.asynccontextmanager
    async def connected(
        self, agent_id: str, address: str
    ) -> AsyncIterator[grpc.aio.Channel]:
        """Yields the agent's channel with an open connection.

        :raises Unreachable: if none opens within :data:`CONNECT_TIMEOUT_S`.
        """
        link = self._links.get(agent_id)
        if link is None or link.address != address:
            self.replace(agent_id)
            link = self._links[agent_id] = _Link(address)
        link.users += 1
        try:
            await self._connect(link)
            yield link.channel
        finally:
            link.users -= 1
            self._close_unused(link)

    def replace(self, agent_id: str) -> None:
        """Makes the next call to an agent open a new channel.

        Calls on the present channel go on; it closes after the last of them.
        """
        link = self._links.pop(agent_id, None)
        if link is not None:
            link.replaced = True
            self._close_unused(link)

    def keep_only(self, agent_ids: set[str]) -> None:
        """Gives up the channels of agents that left the fleet."""
        for agent_id in self._links.keys() - agent_ids:
            self.replace(agent_id)

    async def close(self) -> None:
        """Closes all channels."""
        for agent_id in list(self._links):
            self.replace(agent_id)
        if self._closing:
            await asyncio.wait(self._closing)

    async def _connect(self, link: _Link) -> None:
        if link.channel.get_state(True) is grpc.ChannelConnectivity.READY:
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await link.channel.channel_ready()
        except (TimeoutError, grpc.aio.UsageError) as error:
            raise Unreachable(f"cannot connect to {link.address}") from error

    def _close_unused(self, link: _Link) -> None:
        if link.replaced and link.users == 0:
            task = asyncio.ensure_future(link.channel.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
