"""Identity and encryption of the gRPC connections between the fleet's processes.

All processes of a fleet share one token. With certificates configured, both ends
show theirs (mutual TLS). Addresses are IP numbers that change with each VM, so a
certificate names the fleet instead: DNS name :data:`TLS_NAME`.
"""

import hmac
import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import grpc

log = logging.getLogger("heatherswitch.transport")

# Name that every certificate of the fleet carries.
TLS_NAME = "heatherswitch"
_TOKEN_KEY = "authorization"

Options = Sequence[tuple[str, Any]]


class TransportError(Exception):
    """The certificates cannot be used, or a listener cannot be bound."""


@dataclass(frozen=True, slots=True)
class TransportConfig:
    """Secrets and files, from flags and environment.

    :param fleet_token: shared by all processes; empty admits any peer.
    :param tls_certificate: path of the certificate chain in PEM; empty for no TLS.
    :param tls_key: path of the private key in PEM.
    :param tls_authority: path of the certificates that peers must chain to.
    """

    fleet_token: str = field(default="", repr=False)
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


class Transport:
    """Opens gRPC servers and channels with the fleet's identity."""

    __slots__ = ("_files", "_token")

    def __init__(
        self, token: str = "", files: tuple[bytes, bytes, bytes] | None = None
    ) -> None:
        self._token = token
        # Certificate chain, private key and authority, in PEM.
        self._files = files

    @classmethod
    def from_config(cls, config: TransportConfig) -> "Transport":
        """Reads the certificates.

        :raises TransportError: if only some are given or one cannot be read.
        """
        paths = (config.tls_certificate, config.tls_key, config.tls_authority)
        if not any(paths):
            return cls(config.fleet_token)
        if not all(paths):
            raise TransportError(
                "TLS needs a certificate, a key and an authority together"
            )
        try:
            chain, key, authority = (Path(path).read_bytes() for path in paths)
        except OSError as error:
            raise TransportError(f"TLS file: {error}") from error
        return cls(config.fleet_token, (chain, key, authority))

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """Call metadata that identifies this process to a peer."""
        if not self._token:
            return ()
        return ((_TOKEN_KEY, f"Bearer {self._token}"),)

    def server(self, options: Options) -> grpc.aio.Server:
        """Builds a server that refuses calls without the fleet's token."""
        interceptors = [_TokenCheck(self.metadata)] if self._token else []
        return grpc.aio.server(options=options, interceptors=interceptors)

    def bind(self, server: grpc.aio.Server, address: str) -> int:
        """Adds a listener and returns its port.

        :param address: ``host:port``; port 0 picks a free one.
        :raises TransportError: if it cannot be bound.
        """
        try:
            if self._files is None:
                return server.add_insecure_port(address)
            chain, key, authority = self._files
            credentials = grpc.ssl_server_credentials(
                [(key, chain)], authority, require_client_auth=True
            )
            return server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise TransportError(f"cannot listen on {address}: {error}") from error

    def channel(self, address: str, options: Options) -> grpc.aio.Channel:
        """Opens a channel to a peer.

        Calls on it must pass :attr:`metadata`.
        """
        if self._files is None:
            return grpc.aio.insecure_channel(address, options=options)
        chain, key, authority = self._files
        credentials = grpc.ssl_channel_credentials(authority, key, chain)
        named = [*options, ("grpc.ssl_target_name_override", TLS_NAME)]
        return grpc.aio.secure_channel(address, credentials, options=named)


class _TokenCheck(grpc.aio.ServerInterceptor):
    """Refuses calls that lack the fleet's token."""

    def __init__(self, expected: tuple[tuple[str, str], ...]) -> None:
        self._expected = expected[0][1].encode()

    async def intercept_service(self, continuation, handler_call_details):
        """Passes a call on, or answers UNAUTHENTICATED."""
        handler = await continuation(handler_call_details)
        given = dict(handler_call_details.invocation_metadata or ()).get(_TOKEN_KEY)
        text = given.encode() if isinstance(given, str) else b""
        if handler is None or hmac.compare_digest(text, self._expected):
            return handler
        log.warning("call without the fleet's token refused")
        if handler.response_streaming:
            return grpc.unary_stream_rpc_method_handler(_refuse_stream)
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request, context: grpc.aio.ServicerContext) -> None:
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet token")


async def _refuse_stream(request, context: grpc.aio.ServicerContext):
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet token")
    yield
