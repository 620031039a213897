"""Which headers pass between callers and backend servers."""

from heatherswitch.util.http import Headers

# Headers that describe one connection and not the message (RFC 9110, 7.6.1).
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
# Headers that the router or the agent sets itself. The caller's API key stays
# with the router, and a method override could turn a route into another one.
_ROUTER_OWNED = frozenset(
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
_ANSWER_OWNED = frozenset({"content-length", "idempotency-replayed", "x-request-id"})


def request_headers(headers: Headers) -> Headers:
    """Returns the headers that pass from a caller to a backend server."""
    return _without(headers, _ROUTER_OWNED)


def answer_headers(headers: Headers) -> Headers:
    """Returns the headers that pass from a backend server to a caller."""
    return _without(headers, _ANSWER_OWNED)


def _without(headers: Headers, dropped: frozenset[str]) -> Headers:
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    unwanted = dropped | HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name.lower() not in unwanted]
