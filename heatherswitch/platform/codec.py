"""Codec of the platform's HTTP headers, as the gateway expects it."""

from heatherswitch.gateway.model import CallerRequest
from heatherswitch.gateway.upstream import ResponseHead, UpstreamContext
from heatherswitch.platform.headers import (
    decode_request,
    decode_response,
    encode_request,
)
from heatherswitch.util.http import Headers, Request


class PlatformCodec:
    """Decodes requests and responses, and encodes forwarded requests."""

    __slots__ = ()

    def decode_request(self, request: Request) -> CallerRequest:
        """Returns the header fields of a caller's request that routing needs.

        :raises BadRequest: if the id is missing or a field is malformed.
        """
        return decode_request(request)

    def encode_request(self, request: Request, upstream: UpstreamContext) -> Headers:
        """Returns the headers of a request as forwarded to one backend server."""
        return encode_request(request, upstream)

    def decode_answer(self, status: int, headers: Headers) -> ResponseHead:
        """Returns the status and decoded headers of a backend server's response."""
        return decode_response(status, headers)
