"""The platform's headers as one codec object for the gateway."""

from heatherswitch.gateway.model import CallerRequest
from heatherswitch.gateway.upstream import ResponseHead, UpstreamContext
from heatherswitch.platform.headers import (
    decode_answer,
    decode_request,
    encode_request,
)
from heatherswitch.util.http import Headers, Request


class PlatformCodec:
    """Encodes and decodes what callers and backend servers say."""

    __slots__ = ()

    def decode_request(self, request: Request) -> CallerRequest:
        """Reads the fields that decide where a request goes."""
        return decode_request(request)

    def encode_request(self, request: Request, upstream: UpstreamContext) -> Headers:
        """Returns the headers for one backend server."""
        return encode_request(request, upstream)

    def decode_answer(self, status: int, headers: Headers) -> ResponseHead:
        """Reads what a backend server says with its answer."""
        return decode_answer(status, headers)
