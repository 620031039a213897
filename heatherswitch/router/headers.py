"""Filters the headers that are forwarded between callers and backend servers."""

from heatherswitch.util.http import Headers

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that the router or the agent sets itself. Further, backend servers must not
# see the caller's API key, and a method override could select another route than the
# one that was checked.
_DROPPED_FROM_REQUESTS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "traceparent",
        "x-fencing-token",
        "x-http-method",
        "x-http-method-override",
        "x-method-override",
        "x-request-id",
        "x-workspace",
    }
)
_DROPPED_FROM_RESPONSES = frozenset(
    {"content-length", "idempotency-replayed", "x-request-id"}
)


def forwarded_request_headers(headers: Headers) -> Headers:
    """Returns the request headers that are forwarded to the backend server."""
    return _without(headers, _DROPPED_FROM_REQUESTS)


def forwarded_response_headers(headers: Headers) -> Headers:
    """Returns the response headers that are forwarded to the caller."""
    return _without(headers, _DROPPED_FROM_RESPONSES)


def _without(headers: Headers, dropped: frozenset[str]) -> Headers:
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    unwanted = dropped | HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name.lower() not in unwanted]
