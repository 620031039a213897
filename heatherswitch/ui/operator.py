"""The ``heatherswitch`` program: commands for operators."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output

import heatherswitch
from heatherswitch.ui import gateway_commands, order_commands, settings_commands
from heatherswitch.ui.errors import ExitCode
from heatherswitch.ui.resource_commands import RESOURCE_COMMANDS

COMMANDS: tuple[type[Command], ...] = (
    gateway_commands.CheckSettingsCommand,
    gateway_commands.FollowCommand,
    settings_commands.SetCommand,
    settings_commands.GetCommand,
    settings_commands.ExplainCommand,
    settings_commands.DiffCommand,
    settings_commands.ApplyCommand,
    settings_commands.ExportCommand,
    order_commands.ZoneOutCommand,
    order_commands.ZoneBackCommand,
    order_commands.VersionStartCommand,
    order_commands.VersionStatusCommand,
    order_commands.VersionTakeBackCommand,
    order_commands.MoveListCommand,
    order_commands.MoveWatchCommand,
    order_commands.StatusCommand,
    order_commands.TraceCommand,
    *RESOURCE_COMMANDS,
)


def application() -> Application:
    """Returns the application with all commands."""
    app = Application("heatherswitch", heatherswitch.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run(
    source: Input | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Runs one command line and returns the exit code."""
    # Without a command, cleo would explain its list command instead.
    if source is None and sys.argv[1:] in (["--help"], ["-h"]):
        source = ArgvInput([sys.argv[0], "list"])
    try:
        return application().run(source, output, error_output)
    except CleoError as error:
        line = " ".join(str(error).split())
        message = f"error: {line}; see heatherswitch --help"
        if error_output is not None:
            error_output.write_line(message)
        else:
            print(message, file=sys.stderr)
        return int(ExitCode.USAGE)


def main() -> None:
    """Entry point of the ``heatherswitch`` program."""
    sys.exit(run())


if __name__ == "__main__":
    main()
