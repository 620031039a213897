"""Operator commands for zone orders, version moves and status."""

import time
from typing import Any
from urllib.parse import quote

from cleo.helpers import argument, option

from heatherswitch.ui.base import (
    COMMON_OPTIONS,
    DEADLINE_OPTION,
    OperatorCommand,
    examples,
)
from heatherswitch.ui.client import Caller
from heatherswitch.ui.errors import ExitCode, UserError

# Seconds between two looks at a watched move.
WATCH_INTERVAL_S = 1.0


class OrderCommand(OperatorCommand):
    """An order that starts a move."""

    def show(self, answer: Any) -> None:
        """Prints the revision and how to follow the move."""
        text = f"accepted at revision {answer['revision']}"
        if "move" in answer:
            text += f"; follow it with: heatherswitch move watch {answer['move']}"
        self.print(text)


class ZoneCommand(OrderCommand):
    """Takes an availability zone out or back."""

    order = ""
    arguments = [argument("zone", "Availability zone.")]
    options = [*COMMON_OPTIONS, DEADLINE_OPTION]

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Sends the order."""
        zone = quote(self.argument("zone"), safe="")
        path = f"/v1/zones/{zone}/{self.order}"
        return client.call("POST", path, {}, self.deadline()), ExitCode.OK


class ZoneOutCommand(ZoneCommand):
    """Takes an availability zone out."""

    name = "zone out"
    order = "out"
    description = "Sends a zone no new work; running work finishes."
    help = examples("zone out hobart-a", "zone out hobart-a --deadline 300")


class ZoneBackCommand(ZoneCommand):
    """Takes an availability zone back into use."""

    name = "zone back"
    order = "back"
    description = "Returns a zone gradually; it is out again if that fails."
    help = examples("zone back hobart-a --deadline 600")


class VersionStartCommand(OrderCommand):
    """Starts the move of a service to a version."""

    name = "version start"
    description = "Starts the move of a service to a version."
    arguments = [argument("service", "Service."), argument("version", "New version.")]
    options = [*COMMON_OPTIONS, DEADLINE_OPTION]
    help = examples("version start appraiser v2 --deadline 1800")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Sends the order."""
        path = _version_path(self, "start")
        return client.call("POST", path, {}, self.deadline()), ExitCode.OK


class VersionTakeBackCommand(OrderCommand):
    """Takes a version back."""

    name = "version take-back"
    description = "Sends a version no new work and ends its move."
    arguments = VersionStartCommand.arguments
    options = [*COMMON_OPTIONS]
    help = examples("version take-back appraiser v2")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Sends the order."""
        path = _version_path(self, "take-back")
        return client.call("POST", path, {}, {}), ExitCode.OK


class VersionStatusCommand(OperatorCommand):
    """Prints the versions of a service and its last move."""

    name = "version status"
    description = "Prints the moves of a service between versions."
    arguments = [argument("service", "Service.")]
    help = examples("version status appraiser")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the moves of the service."""
        moves = client.call("GET", "/v1/moves", {})["moves"]
        service = self.argument("service")
        found = [m for m in moves if m["kind"] == "version" and m["service"] == service]
        return {"moves": found}, ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one line a move."""
        _show_moves(self, answer["moves"])


class MoveListCommand(OperatorCommand):
    """Prints all moves."""

    name = "move list"
    description = "Prints all moves, oldest first."
    options = [*COMMON_OPTIONS, option("running", None, "Only running moves.")]
    help = examples("move list", "move list --running --json")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the moves."""
        moves = client.call("GET", "/v1/moves", {})["moves"]
        if self.option("running"):
            moves = [m for m in moves if m["effective_state"] == "running"]
        return {"moves": moves}, ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one line a move."""
        _show_moves(self, answer["moves"])


class MoveWatchCommand(OperatorCommand):
    """Follows a move until it is decided."""

    name = "move watch"
    description = "Follows a move until it is done (exit 0) or taken back (exit 1)."
    arguments = [argument("move", "Id of the move; the newest without it.", True)]
    help = examples("move watch", "move watch 3f1c...")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the move each second; a router that is away is asked again."""
        move_id = self.argument("move") or _newest_move(client)
        path = f"/v1/moves/{quote(move_id, safe='')}"
        last = None
        while True:
            try:
                move = client.call("GET", path, {})
            except UserError as error:
                if error.code is not ExitCode.NOT_RUN or last is None:
                    raise
                time.sleep(WATCH_INTERVAL_S)
                continue
            shown = (move["effective_state"], move["share"])
            if move["effective_state"] != "running":
                taken_back = move["effective_state"] == "taken_back"
                return move, ExitCode.DIFFERENT if taken_back else ExitCode.OK
            if shown != last and not self.option("json"):
                self.print(_move_line(move))
            last = shown
            time.sleep(WATCH_INTERVAL_S)

    def show(self, answer: Any) -> None:
        """Prints the decided move."""
        self.print(_move_line(answer))


class StatusCommand(OperatorCommand):
    """Prints the members of the fleet as one router sees them."""

    name = "status"
    description = "Prints members, load, warmth and the configuration in force."
    help = examples("status", "status --json")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the status."""
        return client.call("GET", "/v1/status", {}), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one line a member."""
        ready = "ready" if answer["ready"] else "not ready"
        revision = answer["config_revision"]
        self.print(f"router {answer['router']}: {ready}, configuration {revision}")
        for member in answer["members"]:
            self.print(_member_line(member))


class TraceCommand(OperatorCommand):
    """Prints what a router decided on one request."""

    name = "trace"
    description = "Prints what the router decided on one of its latest requests."
    arguments = [argument("request", "Id that the caller saw in X-Request-Id.")]
    help = examples("trace 6d13b6726e924fc49085a5b56db460dc --router 10.0.0.7:9100")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the log lines that the router keeps."""
        request = quote(self.argument("request"), safe="")
        return client.call("GET", f"/v1/requests/{request}", {}), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one line a decision, with the time since the first."""
        start = answer["lines"][0]["at"]
        for line in answer["lines"]:
            fields = line["fields"] | {"request_id": None}
            text = " ".join(
                f"{k}={v}" for k, v in fields.items() if v not in (None, "")
            )
            self.print(f"+{line['at'] - start:.3f}s {line['message']}: {text}")


def _newest_move(client: Caller) -> str:
    moves = client.call("GET", "/v1/moves", {})["moves"]
    if not moves:
        raise UserError("there are no moves")
    return moves[-1]["id"]


def _version_path(command: OperatorCommand, order: str) -> str:
    service = quote(command.argument("service"), safe="")
    version = quote(command.argument("version"), safe="")
    return f"/v1/versions/{service}/{version}/{order}"


def _show_moves(command: OperatorCommand, moves: list[dict[str, Any]]) -> None:
    for move in moves:
        command.print(_move_line(move))
    if not moves:
        command.print("no moves")


def _move_line(move: dict[str, Any]) -> str:
    what = move["zone"] or f"{move['service']} {move['to_version']}"
    line = f"{move['id']} {move['kind']} {what}: {move['effective_state']}"
    if move["effective_state"] == "running":
        if move["kind"] == "version":
            line += f", share {move['share']:g}"
        return line + f", {move['remaining_s']:.0f} s left"
    return f"{line} ({move['reason']})" if move["reason"] else line


def _member_line(member: dict[str, Any]) -> str:
    line = (
        f"{member['role']} {member['id']} zone={member['zone']} {member['state']}"
        f" heard={member['heartbeat_age_s']:.1f}s config={member['config_revision']}"
    )
    if member["role"] == "agent":
        warmth = "cold" if member["cold"] else "warm"
        line += (
            f" {member['service']}/{member['version']} {warmth}"
            f" running={member['running']} queued={member['queued']}"
        )
    return line
