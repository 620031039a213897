"""gRPC transport of the gossip protocol: the ``Peer`` service and its channels."""

import asyncio
import contextlib
from collections.abc import Callable

import grpc

from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.protocol.convert import InvalidMessageError
from heatherswitch.util.transport import Transport

# Timeout of one exchange, in seconds. It is as long as two rounds, which leaves time
# for a change to spread within 4 s.
EXCHANGE_TIMEOUT_S = 1.0
# A snapshot of 28,000 settings nodes takes about 5 MB.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
# Channels that were not used for this long are closed, in seconds.
CHANNEL_IDLE_TIMEOUT_S = 30.0

_CHANNEL_OPTIONS = (
    # Otherwise a new channel would share the connection of the one that it replaces.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.enable_http_proxy", 0),
)


class PeerError(Exception):
    """A peer did not reply to an exchange."""


class PeerChannels:
    """Keeps one channel per peer and replaces it after a failed exchange."""

    __slots__ = ("_channels", "_last_used", "_transport")

    def __init__(self, transport: Transport | None = None) -> None:
        self._transport = transport or Transport()
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._last_used: dict[str, float] = {}

    async def exchange(
        self, now: float, address: str, request: pb.ExchangeRequest
    ) -> pb.ExchangeReply:
        """Sends a request to a peer and returns its reply.

        :param now: time in seconds, recorded as the last use of the channel.
        :raises PeerError: if the peer refuses the request or does not reply in time;
            the next exchange then opens a new channel.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = self._transport.channel(address, _CHANNEL_OPTIONS)
            self._channels[address] = channel
        self._last_used[address] = now
        try:
            call = pb_grpc.PeerStub(channel).Exchange(
                request,
                timeout=EXCHANGE_TIMEOUT_S,
                metadata=self._transport.metadata,
            )
            return await call
        except grpc.aio.AioRpcError as error:
            await self.close_channel(address, channel)
            raise PeerError(f"{address}: {error.code().name}") from error
        except (grpc.RpcError, ValueError, asyncio.InvalidStateError) as error:
            await self.close_channel(address, channel)
            raise PeerError(f"{address}: {error}") from error

    async def close_channel(
        self, address: str, channel: grpc.aio.Channel | None = None
    ) -> None:
        """Closes the channel to a peer.

        :param channel: close it only if it is still this one.
        """
        current = self._channels.get(address)
        if current is None or (channel is not None and current is not channel):
            return
        del self._channels[address]
        self._last_used.pop(address, None)
        with contextlib.suppress(grpc.RpcError):
            await current.close()

    async def close_idle(self, now: float) -> None:
        """Closes channels that were not used for ``CHANNEL_IDLE_TIMEOUT_S``."""
        idle = [
            a
            for a, used in self._last_used.items()
            if now - used > CHANNEL_IDLE_TIMEOUT_S
        ]
        for address in idle:
            await self.close_channel(address)

    async def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channels):
            await self.close_channel(address)


class PeerServicer(pb_grpc.PeerServicer):
    """Serves ``Peer.Exchange`` with a function that returns the reply to a request."""

    def __init__(
        self, handle_request: Callable[[pb.ExchangeRequest], pb.ExchangeReply]
    ):
        self._handle_request = handle_request

    async def Exchange(self, request, context):  # noqa: N802 - name from the protocol
        """Replies to one exchange; an invalid request is refused."""
        try:
            return self._handle_request(request)
        except InvalidMessageError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
