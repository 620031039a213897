"""HTTP header names and store keys of the users' platform."""

# Request headers sent by callers.
ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
AUTHORIZATION = "authorization"
AUTH_SCHEME = "bearer"

# Request headers sent to backend servers.
EXPECT_INSTANCE = "X-Expect-Instance"
WORKSPACE = "X-Tenant"
PRIORITY = "X-Request-Priority"
# Address of a server from which the receiver first copies cached parts of the prompt.
CACHE_SOURCE = "Kv-Fetch"

# Response headers and statuses of backend servers.
RESPONSE_SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"
SERVER_LOAD = "x-server-load"
COLD_MS = "x-cold-ms"
# The server is shutting down and must get no new requests; its value is "1".
SERVER_LEAVING = "server-leaving"
# With STATUS_BUSY: seconds for which the server wants no requests from this gateway.
RETRY_AFTER = "retry-after"
STATUS_BUSY = 503
STATUS_OTHER_INSTANCE = 421

# Headers that only the gateway may set; a caller's values are not forwarded.
RESERVED_HEADERS = frozenset(
    {
        "x-expect-instance",
        "x-tenant",
        "x-request-priority",
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        AUTHORIZATION,
        DEADLINE_MS,
    }
)
# Response headers that concern the gateway only; never forwarded to callers.
GATEWAY_ONLY_HEADERS = frozenset({SERVER_LEAVING})
# Headers that apply to a single connection or to message framing; never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

# Keys and key prefixes in the store.
CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"

# Header of the store's responses: how often it was restored from a backup.
ERA_HEADER = "store-era"

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HEATHERSWITCH_CONFIG"
