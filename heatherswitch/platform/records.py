"""Decodes the records that operators and backend servers keep in the store."""

import json
import logging
from typing import Any

from heatherswitch.gateway.model import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    Server,
    Service,
    Workspace,
)
from heatherswitch.gateway.rollouts import RolloutOrder

log = logging.getLogger("heatherswitch.platform.records")

_KINDS = {
    "safe": RequestKind.SAFE,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
_SERVER_STATES = ("ready", "draining")


class RecordError(ValueError):
    """A record in the store does not have the platform's format."""


def decode_configuration(value: bytes) -> Configuration:
    """Reads the operators' configuration.

    :raises RecordError: if it does not have the platform's format.
    """
    try:
        tree = json.loads(value)
        workspaces = tree.get("tenants") or []
        return Configuration(
            version=int(tree["version"]),
            routes=tuple(_route(item) for item in _items(tree, "routes")),
            services={s.name: s for s in map(_service, _items(tree, "services"))},
            caller_limits=_limits(tree.get("limits") or {}),
            api_keys=_keys(workspaces),
            requires_api_key="tenants" in tree,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise RecordError(f"configuration: {error!r}") from error


def _items(tree: dict, name: str) -> list[dict]:
    value = tree.get(name) or []
    if isinstance(value, dict):
        return [{"name": key, **item} for key, item in value.items()]
    return value


def _route(item: dict[str, Any]) -> Route:
    if item.get("traffic_split"):
        split = tuple(
            (part["service"], float(part["weight"])) for part in item["traffic_split"]
        )
    else:
        split = ((item["service"], 1.0),)
    return Route(
        name=item.get("name", item["prefix"]),
        host=item["host"].lower(),
        prefix=item["prefix"],
        kind=_KINDS.get(item.get("kind"), RequestKind.NON_IDEMPOTENT),
        service_weights=split,
        timeout_s=item["timeout_ms"] / 1000,
        latency_objective_s=item.get("target_latency_ms", item["timeout_ms"]) / 1000,
        priority=int(item.get("priority", 0)),
        max_servers=max(1, int(item.get("retry_attempts", 1))),
        anonymous=bool(item.get("allow_anonymous", False)),
        resumable=bool(item.get("stream_resume", False)),
        regions=frozenset(item.get("allowed_regions") or ()),
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=item["name"],
        max_connections=int(item.get("max_connections") or 64),
        cold_rate=float(item.get("cold_per_s") or 0.0),
        warmup_s=float(item.get("cold_start_s") or 0.0),
        is_model=engine is not None,
        slots=int((engine or {}).get("slots") or 0),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    known = CallerLimits()
    return CallerLimits(
        head_bytes=int(item.get("max_header_bytes", known.head_bytes)),
        body_bytes=int(item.get("max_body_bytes", known.body_bytes)),
        head_timeout_s=item.get("header_timeout_ms", known.head_timeout_s * 1000)
        / 1000,
        idle_timeout_s=item.get("idle_timeout_ms", known.idle_timeout_s * 1000) / 1000,
    )


def _keys(workspaces: list[dict]) -> dict[str, Workspace]:
    keys = {}
    for item in workspaces:
        priority = item.get("priority")
        workspace = Workspace(
            item["name"],
            int(priority) if priority is not None else None,
            frozenset(item.get("allowed_regions") or ()),
        )
        for key in item.get("api_keys") or ():
            keys[key] = workspace
    return keys


def decode_order(service: str, revision: int, value: bytes) -> RolloutOrder:
    """Reads an operator's order to move a service to a version.

    :raises RecordError: if it does not have the platform's format.
    """
    try:
        tree = json.loads(value)
        duration_s = float(tree["duration_s"])
        return RolloutOrder(service, _text(tree["target"]), duration_s, revision)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"order of a move: {error!r}") from error


def decode_server(server_id: str, value: bytes) -> Server | None:
    """Reads the entry of a backend server.

    :returns: None if the entry names no server to use; others may write entries
        that are malformed.
    """
    try:
        item = json.loads(value)
        host, _, port = item["address"].rpartition(":")
        if item["state"] not in _SERVER_STATES or not host:
            raise ValueError("state or address is unknown")
        return Server(
            id=server_id,
            # ``born`` is the Unix time of the server's start in milliseconds.
            incarnation=int(item.get("born") or 0),
            service=_text(item["service"]),
            host=host,
            port=int(port),
            zone=_text(item["zone"]),
            version=_text(item.get("version", "")),
            slots=max(0, int(item.get("slots") or 0)),
            draining=item["state"] == "draining",
            cold_for_s=max(0.0, float(item.get("cold_remaining_ms") or 0) / 1000),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log.warning(
            "entry of a backend server is unusable",
            extra={"server": server_id, "error": repr(error)},
        )
        return None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    return value
