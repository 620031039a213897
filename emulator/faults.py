"""Rules for the faults that a stand-in injects into requests."""

import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from typing import Any

from heatherswitch.util.http import BadRequest


@dataclass(frozen=True, slots=True)
class Fault:
    """One rule; it applies to requests that meet all its conditions.

    :param kind: the fault, for example ``delay`` or ``error``.
    :param rate: probability that the rule applies to a matching request.
    :param route: path prefix, or an empty string for all routes.
    :param min_running: smallest number of running requests at which it applies.
    :param after_s: time between setting the rule and its first use, in seconds.
    :param seconds: duration of a delay.
    :param status: HTTP status of an error.
    :param when: ``before`` or ``after`` the request takes effect.
    :param request_class: class of the request, or an empty string for all.
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


_FIELD_TYPES = {
    "kind": str,
    "route": str,
    "when": str,
    "min_running": int,
    "status": int,
    "request_class": str,
}


def parse_fault(value: Any, kinds: Iterable[str]) -> Fault:
    """Returns the rule that a JSON value describes.

    :raises BadRequest: if a field, its type or the kind is invalid.
    """
    field_names = {item.name for item in fields(Fault)}
    if not isinstance(value, dict) or not set(value) <= field_names:
        raise BadRequest(
            400, f"a fault is an object with names of {sorted(field_names)}"
        )
    for name, item in value.items():
        expected_types = _FIELD_TYPES.get(name, (int, float))
        if not isinstance(item, expected_types) or isinstance(item, bool):
            raise BadRequest(400, f"{name}: {item!r} has the wrong type")
    if value.get("kind") not in kinds:
        raise BadRequest(400, f"kind must be one of {sorted(kinds)}")
    if value.get("when", "before") not in ("before", "after"):
        raise BadRequest(400, "when must be 'before' or 'after'")
    return Fault(**value)


class FaultRuleSet:
    """The active fault rules of a stand-in.

    Rules with a ``rate`` use seeded random numbers, so that runs are reproducible.
    """

    __slots__ = ("_kinds", "_random", "_replaced_at", "_rules")

    def __init__(self, kinds: Iterable[str], seed: int = 0) -> None:
        self._kinds = frozenset(kinds)
        self._random = random.Random(seed)
        self._rules: tuple[Fault, ...] = ()
        self._replaced_at = 0.0

    @property
    def rules(self) -> tuple[Fault, ...]:
        """The active rules, in the order in which they are tried."""
        return self._rules

    def replace(self, body: Any, now: float) -> tuple[Fault, ...]:
        """Replaces all rules with those of ``{"faults": [...]}``.

        :param now: time from which ``after_s`` counts, in seconds.
        :raises BadRequest: if the body is invalid; the old rules stay active.
        """
        if not isinstance(body, dict) or not isinstance(body.get("faults"), list):
            raise BadRequest(400, 'the body must be {"faults": [...]}')
        self._rules = tuple(parse_fault(item, self._kinds) for item in body["faults"])
        self._replaced_at = now
        return self._rules

    def select(
        self,
        kind: str,
        path: str,
        running: int,
        now: float,
        when: str = "before",
        request_class: str = "",
    ) -> Fault | None:
        """Returns the first rule of a kind that applies to a request, or None.

        :param running: number of running requests.
        :param now: current time, on the clock of :meth:`replace`.
        """
        for rule in self._rules:
            if rule.kind != kind or rule.when != when:
                continue
            if not path.startswith(rule.route) or running < rule.min_running:
                continue
            if now - self._replaced_at < rule.after_s:
                continue
            if rule.request_class not in ("", request_class):
                continue
            if rule.rate >= 1 or self._random.random() < rule.rate:
                return rule
        return None

    def to_json(self) -> dict[str, Any]:
        """Returns the rules in the form that :meth:`replace` takes."""
        return {"faults": [asdict(rule) for rule in self._rules]}
