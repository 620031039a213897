"""Fault rules that a stand-in applies while it serves requests."""

import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from typing import Any

from heatherswitch.util.http import BadRequest


@dataclass(frozen=True, slots=True)
class Fault:
    """One rule; it applies to requests that meet all its conditions.

    :param kind: what happens, for example ``delay`` or ``error``.
    :param rate: share of the matching requests that are hit, 0 to 1.
    :param route: path prefix, or an empty string for all routes.
    :param request_class: class of the request, or an empty string for all.
    :param min_running: applies only with this many requests running.
    :param after_s: applies only this long after the rule was set, in seconds.
    :param seconds: length of a delay.
    :param status: HTTP status of an error.
    :param when: ``before`` or ``after`` the request takes effect.
    """

    kind: str
    rate: float = 1.0
    route: str = ""
    min_running: int = 0
    after_s: float = 0.0
    seconds: float = 0.0
    status: int = 500
    when: str = "before"
    request_class: str = ""


_TYPES = {
    "kind": str,
    "route": str,
    "when": str,
    "min_running": int,
    "status": int,
    "request_class": str,
}


def parse_fault(value: Any, kinds: Iterable[str]) -> Fault:
    """Reads one rule.

    :raises BadRequest: if a name, kind or type is unknown.
    """
    names = {item.name for item in fields(Fault)}
    if not isinstance(value, dict) or not set(value) <= names:
        raise BadRequest(400, f"a fault is an object with names of {sorted(names)}")
    for name, item in value.items():
        wanted = _TYPES.get(name, (int, float))
        if not isinstance(item, wanted) or isinstance(item, bool):
            raise BadRequest(400, f"{name}: {item!r} has the wrong type")
    if value.get("kind") not in kinds:
        raise BadRequest(400, f"kind must be one of {sorted(kinds)}")
    if value.get("when", "before") not in ("before", "after"):
        raise BadRequest(400, "when must be 'before' or 'after'")
    return Fault(**value)


class FaultRules:
    """The rules in force; random choices follow a fixed seed."""

    __slots__ = ("_kinds", "_random", "_rules", "_set_at")

    def __init__(self, kinds: Iterable[str], seed: int = 0) -> None:
        self._kinds = frozenset(kinds)
        self._random = random.Random(seed)
        self._rules: tuple[Fault, ...] = ()
        self._set_at = 0.0

    @property
    def rules(self) -> tuple[Fault, ...]:
        """The rules in force."""
        return self._rules

    def replace(self, body: Any, now: float) -> tuple[Fault, ...]:
        """Replaces all rules by ``{"faults": [...]}``; an empty list clears them.

        :raises BadRequest: if the body is invalid; the rules stay as they were.
        """
        if not isinstance(body, dict) or not isinstance(body.get("faults"), list):
            raise BadRequest(400, 'the body must be {"faults": [...]}')
        self._rules = tuple(parse_fault(item, self._kinds) for item in body["faults"])
        self._set_at = now
        return self._rules

    def pick(
        self,
        kind: str,
        path: str,
        running: int,
        now: float,
        when: str = "before",
        request_class: str = "",
    ) -> Fault | None:
        """Returns the first rule of a kind that hits this request, or None."""
        for rule in self._rules:
            if rule.kind != kind or rule.when != when:
                continue
            if not path.startswith(rule.route) or running < rule.min_running:
                continue
            if now - self._set_at < rule.after_s:
                continue
            if rule.request_class not in ("", request_class):
                continue
            if rule.rate >= 1 or self._random.random() < rule.rate:
                return rule
        return None

    def as_json(self) -> dict[str, Any]:
        """Returns the rules in the form that :meth:`replace` takes."""
        return {"faults": [asdict(rule) for rule in self._rules]}
