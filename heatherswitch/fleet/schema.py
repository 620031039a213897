"""JSON schema for the overrides of a settings node."""

from typing import Any


def _number(minimum: float, maximum: float, kind: str = "number") -> dict[str, Any]:
    return {"type": kind, "minimum": minimum, "maximum": maximum}


def _object(properties: dict[str, Any]) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": properties,
        "additionalProperties": False,
    }


def _choice(*values: str) -> dict[str, Any]:
    return {"enum": list(values)}


_BOOLEAN = {"type": "boolean"}
_NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"}
_DAY_S = 86400

_ROUTE = {
    **_object(
        {
            "path": {"type": "string", "pattern": "^/[^? ]*$"},
            "methods": {
                "type": "array",
                "items": _choice("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
                "minItems": 1,
            },
            "idempotent": _BOOLEAN,
            "class": _NAME,
        }
    ),
    "required": ["path", "methods", "idempotent"],
}

_CLASS = _object(
    {"priority": _number(0, 9, "integer"), "deadline_s": _number(0.05, _DAY_S)}
)

NODE_SCHEMA: dict[str, Any] = _object(
    {
        "kind": _choice("engine", "plain"),
        "routing": _object(
            {
                "policy": _choice("affinity", "random", "least_loaded"),
                "affinity_wait_s": _number(0, 10),
                "load_bound": _number(1, 10),
                "load_bound_extra": _number(0, 100, "integer"),
                "max_attempts": _number(1, 16, "integer"),
                "retry_budget": _number(0, 1),
            }
        ),
        "limits": _object(
            {
                "max_running": _number(1, 10000, "integer"),
                "max_queued": _number(0, 100000, "integer"),
                "body_bytes": _number(1, 64 * 1024 * 1024, "integer"),
                "header_bytes": _number(1024, 1024 * 1024, "integer"),
                "request_timeout_s": _number(0.05, _DAY_S),
                "progress_timeout_s": _number(0.1, 600),
                "resume_window_s": _number(0, 600),
            }
        ),
        "cold_start": _object(
            {
                "limit": _number(1, 10000, "integer"),
                "growth": _number(1.05, 16),
                "evidence": _number(1, 10000, "integer"),
                "slow_factor": _number(1.1, 1000),
            }
        ),
        "classes": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": _CLASS,
        },
        "default_class": _NAME,
        "share": _number(0.01, 1000),
        "routes": {"type": "array", "items": _ROUTE},
        "partitions": _number(1, 256, "integer"),
        "claim_retention_s": _number(1, 30 * _DAY_S),
        "claim_start_limit_s": _number(0.1, 60),
        "checks_fencing": _BOOLEAN,
        "checks_idempotency": _BOOLEAN,
        "zone_state": _choice("in", "out"),
        "version_state": _choice("active", "starting", "taken_back", "retired"),
        "version_share": _number(0, 1),
        "move": _object(
            {
                "unproven_share": _number(0, 1),
                "false_alarm_rate": _number(1e-9, 0.5),
                "deadline_s": _number(1, 30 * _DAY_S),
            }
        ),
        "api_key_digests": {
            "type": "array",
            "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        },
    }
)
