"""gRPC channels to agents, one per agent."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import grpc

from heatherswitch.util.transport import Transport

# Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Largest message in either direction, in bytes.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

OPTIONS = (
    # By default, channels with equal options share connections. A channel that replaces
    # an unresponsive one would then reuse the same connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # A fixed flow control window. If a connection hangs, the bytes sent but not yet read
    # must fit into the 512 KiB that an agent keeps, or the response cannot be resumed.
    # By default gRPC grows the window to several megabytes.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 65536),
    # Agents have numeric addresses, which must not go through a proxy that is set in
    # the environment.
    ("grpc.enable_http_proxy", 0),
)


class AgentUnreachable(Exception):
    """No connection to the agent could be opened, so nothing was sent."""


class _AgentChannel:
    """A gRPC channel to one agent and the number of calls that use it."""

    __slots__ = ("active_calls", "address", "channel", "replaced")

    def __init__(self, address: str, transport: Transport) -> None:
        self.address = address
        self.channel = transport.channel(address, OPTIONS)
        self.active_calls = 0
        self.replaced = False


class AgentChannels:
    """Keeps one gRPC channel per agent and replaces channels on request."""

    __slots__ = ("_agent_channels", "_close_tasks", "_transport")

    def __init__(self, transport: Transport | None = None) -> None:
        self._transport = transport or Transport()
        self._agent_channels: dict[str, _AgentChannel] = {}
        self._close_tasks: set[asyncio.Task] = set()

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """Metadata that each call to an agent must carry."""
        return self._transport.metadata

    @contextlib.asynccontextmanager
    async def connected(
        self, agent_id: str, address: str
    ) -> AsyncIterator[grpc.aio.Channel]:
        """Yields a connected channel to the agent.

        :raises AgentUnreachable: if no connection opens within
            :data:`CONNECT_TIMEOUT_S`.
        """
        agent_channel = self._agent_channels.get(agent_id)
        if agent_channel is None or agent_channel.address != address:
            self.replace(agent_id)
            agent_channel = self._agent_channels[agent_id] = _AgentChannel(
                address, self._transport
            )
        agent_channel.active_calls += 1
        try:
            await self._connect(agent_channel)
            yield agent_channel.channel
        finally:
            agent_channel.active_calls -= 1
            self._close_unused(agent_channel)

    def replace(self, agent_id: str) -> None:
        """Makes the next call to an agent open a new channel.

        Calls on the current channel continue; it is closed after the last one.
        """
        agent_channel = self._agent_channels.pop(agent_id, None)
        if agent_channel is not None:
            agent_channel.replaced = True
            self._close_unused(agent_channel)

    def keep_only(self, agent_ids: set[str]) -> None:
        """Drops the channels of agents that are not in ``agent_ids``."""
        for agent_id in self._agent_channels.keys() - agent_ids:
            self.replace(agent_id)

    async def close(self) -> None:
        """Closes all channels and waits for them."""
        for agent_id in list(self._agent_channels):
            self.replace(agent_id)
        if self._close_tasks:
            await asyncio.wait(self._close_tasks)

    async def _connect(self, agent_channel: _AgentChannel) -> None:
        if agent_channel.channel.get_state(True) is grpc.ChannelConnectivity.READY:
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await agent_channel.channel.channel_ready()
        except (TimeoutError, grpc.aio.UsageError) as error:
            raise AgentUnreachable(
                f"cannot connect to {agent_channel.address}"
            ) from error

    def _close_unused(self, agent_channel: _AgentChannel) -> None:
        if agent_channel.replaced and agent_channel.active_calls == 0:
            task = asyncio.ensure_future(agent_channel.channel.close())
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)
