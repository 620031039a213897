"""The ``heatherswitch-router`` program."""

import sys
from typing import Any

from heatherswitch.ui import daemon
from heatherswitch.ui.daemon import Daemon, DaemonCommand, Flag, SecretFlag, run_daemon


class RouterCommand(DaemonCommand):
    """Runs one router."""

    name = "heatherswitch-router"
    description = "Routes callers' requests to agents and serves the operator API."
    example = (
        "heatherswitch-router --id router-a --zone hobart-a --listen 127.0.0.1:8080 "
        "--store 127.0.0.1:2379 --peers 127.0.0.1:9101,127.0.0.1:9102"
    )
    flags = (
        Flag(
            "listen",
            "Address to listen on for callers.",
            daemon.parse_address,
            "127.0.0.1:8080",
        ),
        Flag(
            "operator-listen",
            "Address to listen on for operators.",
            daemon.parse_address,
            "127.0.0.1:0",
        ),
        Flag(
            "peer-listen",
            "Address to listen on for peers.",
            daemon.parse_address,
            "127.0.0.1:0",
        ),
        SecretFlag(
            "operator-token-file",
            "File that holds the operator token; without it all operators are refused.",
            str,
            "",
        ),
        Flag(
            "drain-delay-s",
            "Seconds that the listener stays open after SIGTERM, so that load balancers "
            "can react.",
            daemon.parse_drain_delay,
            "5",
        ),
        Flag(
            "version-test",
            "Statistical test of starting versions: sequential; threshold and fixed "
            "are baselines for measurements.",
            daemon.parse_version_test,
            "sequential",
        ),
        Flag(
            "memory-mb",
            "Memory that the process may use, in megabytes; requests that need more are "
            "refused.",
            daemon.parse_memory,
            "1024",
        ),
        *daemon.COMMON_FLAGS,
        *daemon.TRANSPORT_FLAGS,
    )

    def build(self, values: dict[str, Any]) -> Daemon:
        """Builds the router from the parsed flags."""
        from heatherswitch.router.shell import Router, RouterConfig

        return Router.from_config(RouterConfig(**daemon.transport_config(values)))


def main() -> None:
    """Entry point of the ``heatherswitch-router`` program."""
    sys.exit(run_daemon(RouterCommand(), sys.argv[1:]))


if __name__ == "__main__":
    main()
