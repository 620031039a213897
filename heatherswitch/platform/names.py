"""Header and key names of the platform."""

# Requests of callers.
ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
AUTHORIZATION = "authorization"
KEY_SCHEME = "bearer"

# Requests to backend servers.
EXPECT_INSTANCE = "X-Expect-Instance"
WORKSPACE = "X-Tenant"
PRIORITY = "X-Request-Priority"
# The server first copies the prompt's cached parts from this address.
COPY_FROM = "Kv-Fetch"

# Answers of backend servers.
SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"
SERVER_LOAD = "x-server-load"
COLD_MS = "x-cold-ms"
STATUS_OTHER_INSTANCE = 421

# Headers that only the system sets. A caller's value is dropped.
RESERVED = frozenset(
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
# Headers of one connection, which are never forwarded.
HOP_BY_HOP = frozenset(
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

# Keys of the store.
CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"

SETTINGS_VARIABLE = "HEATHERSWITCH_CONFIG"
