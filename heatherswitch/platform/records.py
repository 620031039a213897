"""Decodes the JSON records that operators and backend servers write to the store."""

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
from heatherswitch.util.untrusted import (
    MalformedInput,
    describe_error,
    parse_json,
    parse_object,
    require_integer,
    require_name,
    require_number,
    require_port,
    require_token,
)

log = logging.getLogger("heatherswitch.platform.records")

_REQUEST_KINDS = {
    "safe": RequestKind.SAFE,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
_SERVER_STATES = ("ready", "draining")


class RecordError(ValueError):
    """A record in the store is malformed."""


def decode_configuration(value: bytes) -> Configuration:
    """Decodes the operators' configuration.

    :raises RecordError: if it is malformed.
    """
    try:
        document = parse_json(value)
        workspaces = document.get("tenants") or []
        return Configuration(
            version=int(document["version"]),
            routes=tuple(
                _decode_route(item) for item in _list_items(document, "routes")
            ),
            services={
                s.name: s
                for s in map(_decode_service, _list_items(document, "services"))
            },
            caller_limits=_decode_caller_limits(document.get("limits") or {}),
            api_keys=_decode_api_keys(workspaces),
            requires_api_key="tenants" in document,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise RecordError(f"configuration: {describe_error(error)}") from error


def _list_items(document: dict, name: str) -> list[dict]:
    """Returns the items of a list, or of a mapping from names to items."""
    value = document.get(name) or []
    if isinstance(value, dict):
        return [{"name": key, **item} for key, item in value.items()]
    return value


def _decode_route(item: dict[str, Any]) -> Route:
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
        kind=_REQUEST_KINDS.get(item.get("kind"), RequestKind.NON_IDEMPOTENT),
        service_weights=split,
        timeout_s=item["timeout_ms"] / 1000,
        latency_objective_s=item.get("target_latency_ms", item["timeout_ms"]) / 1000,
        priority=int(item.get("priority", 0)),
        max_servers=max(1, int(item.get("retry_attempts", 1))),
        anonymous=bool(item.get("allow_anonymous", False)),
        resumable=bool(item.get("stream_resume", False)),
        regions=frozenset(item.get("allowed_regions") or ()),
    )


def _decode_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=item["name"],
        max_connections=int(item.get("max_connections") or 64),
        cold_rate=float(item.get("cold_per_s") or 0.0),
        warmup_s=float(item.get("cold_start_s") or 0.0),
        is_model=engine is not None,
        slots=int((engine or {}).get("slots") or 0),
    )


def _decode_caller_limits(item: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(item.get("max_header_bytes", defaults.head_bytes)),
        body_bytes=int(item.get("max_body_bytes", defaults.body_bytes)),
        head_timeout_s=item.get("header_timeout_ms", defaults.head_timeout_s * 1000)
        / 1000,
        idle_timeout_s=item.get("idle_timeout_ms", defaults.idle_timeout_s * 1000)
        / 1000,
    )


def _decode_api_keys(workspaces: list[dict]) -> dict[str, Workspace]:
    """Returns the workspace of each API key."""
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


def decode_rollout_order(service: str, revision: int, value: bytes) -> RolloutOrder:
    """Decodes an operator's order to roll a service out to a version.

    :param revision: store revision of the order.
    :raises RecordError: if it is malformed.
    """
    try:
        document = parse_object(value)
        duration_s = require_number(document["duration_s"])
        return RolloutOrder(
            service, require_name(document["target"]), duration_s, revision
        )
    except (KeyError, MalformedInput) as error:
        raise RecordError(f"rollout order: {describe_error(error)}") from error


def decode_server(server_id: str, value: bytes) -> Server | None:
    """Decodes the entry of a backend server.

    :returns: None if the entry is malformed, its state is neither ready nor draining, or
        its address cannot be connected to. Entries are written by other programs, so
        this is no error.
    """
    try:
        item = parse_object(value)
        host, _, port = require_token(item["address"]).rpartition(":")
        if require_name(item["state"]) not in _SERVER_STATES:
            raise MalformedInput(f"the state {item['state'][:100]} is unknown")
        return Server(
            # The id is sent in a header of each request.
            id=require_token(server_id),
            # ``born`` is the Unix time at which the server started, in milliseconds.
            incarnation=require_integer(_number_field(item, "born")),
            service=require_name(item["service"]),
            host=require_token(host),
            port=require_port(port),
            zone=require_name(item["zone"]),
            version=require_name(item.get("version", "")),
            slots=require_integer(_number_field(item, "slots")),
            draining=item["state"] == "draining",
            cold_for_s=max(
                0.0, require_number(_number_field(item, "cold_remaining_ms")) / 1000
            ),
        )
    except (KeyError, MalformedInput) as error:
        log.warning(
            "invalid entry of a backend server",
            extra={"server": server_id, "error": describe_error(error)},
        )
        return None


def _number_field(item: dict[str, Any], name: str) -> Any:
    """Returns a field that counts as 0 if it is missing or null."""
    value = item.get(name)
    return 0 if value is None else value
