"""Commands for gateways: check a settings file, follow a request in the logs."""

import json
from dataclasses import asdict
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from heatherswitch.gateway.request_log import RequestLog, collect
from heatherswitch.ui.base import examples
from heatherswitch.ui.errors import ExitCode, UserError

JSON_OPTION = option("json", None, "Print JSON for programs.")


class FileCommand(Command):
    """A command that reads files and calls no router."""

    def handle(self) -> int:
        """Runs the command and turns errors into one line."""
        try:
            return int(self.run_command())
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)

    def run_command(self) -> ExitCode:
        """Does the work.

        :raises UserError: for a fault that ends the command.
        """
        raise NotImplementedError

    def print(self, text: str) -> None:
        """Writes a line without interpreting markup."""
        self.io.write_line(text, type=Type.RAW)


class FollowCommand(FileCommand):
    """Shows what the gateways logged about one request."""

    name = "follow"
    description = "Shows what the gateways' logs say of one request."
    arguments = [
        argument("request", "Id of the request, as the caller sent it."),
        argument("files", "Log files of the gateways.", multiple=True),
    ]
    options = [JSON_OPTION]
    help = examples("follow 484d3967adb609a8 gateway-a.log gateway-b.log")

    def run_command(self) -> ExitCode:
        """Reads the files and prints the request's lines."""
        lines = []
        for name in self.argument("files"):
            lines += _read(name).splitlines()
        trail = collect(self.argument("request"), lines)
        if self.option("json"):
            self.print(json.dumps(asdict(trail) | {"cause": trail.cause}))
        else:
            self._show(trail)
        if not trail.lines:
            raise UserError("the logs hold no line about this request")
        return ExitCode.OK

    def _show(self, trail: RequestLog) -> None:
        for line in trail.lines:
            details = " ".join(f"{k}={v}" for k, v in line.details.items() if v != "")
            self.print(f"{line.timestamp} {line.instance} {line.message} {details}")
        if trail.lines:
            self.print(f"cause: {trail.cause}")
        if trail.malformed:
            self.print(f"{trail.malformed} lines are not log lines")
        if trail.dropped:
            self.print(
                f"the gateways dropped {trail.dropped} lines; some may be missing"
            )


class CheckSettingsCommand(FileCommand):
    """Checks the settings file of a gateway."""

    name = "check-settings"
    description = "Checks a gateway's settings file and shows what it means."
    arguments = [argument("file", "Settings file, as the platform writes it.")]
    options = [JSON_OPTION]
    help = examples("check-settings /etc/heatherswitch/local.yaml")

    def run_command(self) -> ExitCode:
        """Reads the file as a gateway would."""
        from heatherswitch.platform.settings import (
            SettingsError,
            parse_gateway_config,
            read_settings,
        )

        try:
            config = parse_gateway_config(read_settings(self.argument("file")))
        except SettingsError as error:
            raise UserError(str(error)) from error
        shown = asdict(config)
        if self.option("json"):
            self.print(json.dumps(shown, sort_keys=True))
        else:
            for name, value in shown.items():
                self.print(f"{name}: {value}")
        return ExitCode.OK


def _read(name: str) -> str:
    try:
        return Path(name).read_text(errors="replace")
    except OSError as error:
        raise UserError(f"{name}: {error.strerror}") from error
