"""Authentication and encryption of gRPC connections between the fleet's processes.

All processes of a fleet share a token. If certificates are configured, connections use
mutual TLS. IP addresses change with each VM, so certificates are issued for the DNS
name :data:`TLS_NAME` instead.
"""

import hmac
import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import grpc

log = logging.getLogger("heatherswitch.transport")

# DNS name in every certificate of the fleet.
TLS_NAME = "heatherswitch"
_TOKEN_METADATA_KEY = "authorization"

Options = Sequence[tuple[str, Any]]


class TransportError(Exception):
    """The TLS files cannot be read, or a listener cannot be bound."""


@dataclass(frozen=True, slots=True)
class TransportConfig:
    """Fleet token and TLS files, from command-line options and the environment.

    :param fleet_token: token shared by all processes; if empty, any peer is accepted.
    :param tls_certificate: path of the certificate chain in PEM; empty for no TLS.
    :param tls_key: path of the private key in PEM.
    :param tls_authority: path of the CA certificates, in PEM, that sign the peers'
        certificates.
    """

    fleet_token: str = field(default="", repr=False)
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


class Transport:
    """Creates gRPC servers and channels that authenticate with the fleet's secrets."""

    __slots__ = ("_pem_files", "_token")

    def __init__(
        self, token: str = "", pem_files: tuple[bytes, bytes, bytes] | None = None
    ) -> None:
        self._token = token
        # Certificate chain, private key and CA certificates, in PEM.
        self._pem_files = pem_files

    @classmethod
    def from_config(cls, config: TransportConfig) -> "Transport":
        """Reads the TLS files.

        :raises TransportError: if only some are configured or one cannot be read.
        """
        paths = (config.tls_certificate, config.tls_key, config.tls_authority)
        if not any(paths):
            return cls(config.fleet_token)
        if not all(paths):
            raise TransportError("TLS requires a certificate, a key and an authority")
        try:
            chain, key, authority = (Path(path).read_bytes() for path in paths)
        except OSError as error:
            raise TransportError(f"cannot read TLS file: {error}") from error
        return cls(config.fleet_token, (chain, key, authority))

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """Call metadata with the fleet token; empty if there is none."""
        if not self._token:
            return ()
        return ((_TOKEN_METADATA_KEY, f"Bearer {self._token}"),)

    def server(self, options: Options) -> grpc.aio.Server:
        """Returns a server; with a fleet token, it rejects calls without it."""
        interceptors = [_TokenInterceptor(self.metadata)] if self._token else []
        return grpc.aio.server(options=options, interceptors=interceptors)

    def bind(self, server: grpc.aio.Server, address: str) -> int:
        """Adds a listener and returns its port.

        :param address: ``host:port``; port 0 lets the system choose a free port.
        :raises TransportError: if the address cannot be bound.
        """
        try:
            if self._pem_files is None:
                return server.add_insecure_port(address)
            chain, key, authority = self._pem_files
            credentials = grpc.ssl_server_credentials(
                [(key, chain)], authority, require_client_auth=True
            )
            return server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise TransportError(f"cannot listen on {address}: {error}") from error

    def channel(self, address: str, options: Options) -> grpc.aio.Channel:
        """Returns a channel to a peer; calls on it must pass :attr:`metadata`.

        :param address: ``host:port`` of the peer.
        """
        if self._pem_files is None:
            return grpc.aio.insecure_channel(address, options=options)
        chain, key, authority = self._pem_files
        credentials = grpc.ssl_channel_credentials(authority, key, chain)
        channel_options = [*options, ("grpc.ssl_target_name_override", TLS_NAME)]
        return grpc.aio.secure_channel(address, credentials, options=channel_options)


class _TokenInterceptor(grpc.aio.ServerInterceptor):
    """Rejects calls without the fleet token."""

    def __init__(self, expected: tuple[tuple[str, str], ...]) -> None:
        self._expected = expected[0][1].encode()

    async def intercept_service(self, continuation, handler_call_details):
        """Returns the handler of a call, or one that aborts with UNAUTHENTICATED."""
        handler = await continuation(handler_call_details)
        presented = dict(handler_call_details.invocation_metadata or ()).get(
            _TOKEN_METADATA_KEY
        )
        presented_bytes = presented.encode() if isinstance(presented, str) else b""
        if handler is None or hmac.compare_digest(presented_bytes, self._expected):
            return handler
        log.warning("rejected a call without the fleet token")
        if handler.response_streaming:
            return grpc.unary_stream_rpc_method_handler(_abort_stream)
        return grpc.unary_unary_rpc_method_handler(_abort_unary)


async def _abort_unary(request, context: grpc.aio.ServicerContext) -> None:
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet token")


async def _abort_stream(request, context: grpc.aio.ServicerContext):
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet token")
    yield
