"""Builds the JSON responses of the operator API."""

import json
from typing import Any

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.members import Member, Role
from heatherswitch.fleet.records import Move
from heatherswitch.fleet.settings import SETTINGS_PREFIX, Selector


def settings_view(node: FleetNode) -> dict[str, Any]:
    """Returns all settings nodes with their overrides and revisions."""
    nodes = {}
    for entry in node.entries.with_prefix(SETTINGS_PREFIX + "/"):
        path = entry.key[len(SETTINGS_PREFIX) :]
        overrides = node.config.tree.nodes.get(path)
        nodes[path] = {"revision": entry.mod_revision, "overrides": overrides}
    return {"revision": node.entries.revision, "nodes": nodes}


def effective_view(node: FleetNode, selector: Selector) -> dict[str, Any]:
    """Returns the effective settings of a selector."""
    values = node.config.tree.effective(selector).values
    return {"revision": node.entries.revision, "settings": values}


def explain_view(node: FleetNode, selector: Selector) -> dict[str, Any]:
    """Returns each effective setting with the settings node that defines it."""
    values = [
        {"name": item.name, "value": item.value, "source": item.source}
        for item in node.config.tree.explain(selector)
    ]
    return {"revision": node.entries.revision, "values": values}


def move_view(move: Move, now: float) -> dict[str, Any]:
    """Returns a stored move with its effective state and remaining time.

    :param now: seconds since the epoch.
    """
    stored = json.loads(move.to_bytes())
    return stored | {
        "effective_state": move.effective_state(now).value,
        "remaining_s": round(max(0.0, move.deadline_at - now), 3),
    }


def status_view(node: FleetNode, now: float) -> dict[str, Any]:
    """Returns the fleet's members and the configuration revision of this router.

    :param now: seconds since the epoch.
    """
    own = node.own
    members = sorted(node.members, key=lambda m: (m.role.value, m.zone, m.id))
    return {
        "router": own.id,
        "ready": node.ready,
        "config_revision": node.config.revision,
        "complete_revision": node.entries.revision,
        "members": [
            _member_view(own, 0.0),
            *(_member_view(m, node.members.silent_for_s(now, m.id)) for m in members),
        ],
    }


def _member_view(member: Member, unheard_s: float) -> dict[str, Any]:
    view = {
        "id": member.id,
        "role": member.role.value,
        "state": member.state.value,
        "region": member.region,
        "zone": member.zone,
        "address": member.address,
        "incarnation": member.incarnation,
        "heartbeat_age_s": round(unheard_s, 3),
        "config_revision": member.config_revision,
    }
    if member.role is Role.AGENT:
        view |= {
            "service": member.service,
            "version": member.version,
            "cold": member.cold,
            "running": member.load.running,
            "queued": member.load.queued,
            "limit": member.load.limit,
        }
    return view
