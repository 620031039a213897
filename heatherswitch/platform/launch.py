"""Entry point of the ``heatherswitch-gateway`` program.

The listeners are bound before the gateway's modules are imported, which takes most of
the start. Callers that connect meanwhile wait for a fraction of a second in the listen
queue; otherwise their connections would be refused. Signals that arrive meanwhile are
handled once the gateway runs; otherwise they would end the process.
"""

import socket
import sys
from typing import Any

from heatherswitch.platform.settings_file import (
    SettingsError,
    read_settings,
    settings_path,
)
from heatherswitch.util.listeners import bind_listener
from heatherswitch.util.signals import hold_signals
from heatherswitch.util.untrusted import describe_error

EXIT_USAGE = 2


def main() -> None:
    """Reads the settings, binds the listeners and runs the gateway.

    Exits with status 2 if the settings cannot be used.
    """
    hold_signals()
    try:
        settings = read_settings(settings_path())
        listeners = bind_listeners(settings)

        from heatherswitch.platform import gateway

        gateway.run(settings, listeners)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def bind_listeners(settings: dict[str, Any]) -> dict[str, socket.socket]:
    """Binds the listeners for callers and for readiness checks.

    :returns: listening sockets by their ``host:port`` in the settings.
    :raises SettingsError: if an address is missing, malformed or in use.
    """
    try:
        addresses = [settings["listen"][name] for name in ("front", "ready")]
        return {address: bind_listener(address) for address in addresses}
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"settings: listen: {describe_error(error)}") from error
    except OSError as error:
        raise SettingsError(f"settings: listen: {error}") from error


if __name__ == "__main__":
    main()
