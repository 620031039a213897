"""The ``heatherswitch-router`` program."""

import sys
from typing import Any

from heatherswitch.ui import daemon
from heatherswitch.ui.daemon import DaemonCommand, Flag, Program, SecretFlag, run_daemon


class RouterCommand(DaemonCommand):
    """Runs one router."""

    name = "heatherswitch-router"
    description = "Routes callers' requests to agents and serves operators."
    example = (
        "heatherswitch-router --id router-a --zone hobart-a --listen 127.0.0.1:8080 "
        "--store 127.0.0.1:2379 --peers 127.0.0.1:9101,127.0.0.1:9102"
    )
    flags = (
        Flag("listen", "Address for callers.", daemon.address, "127.0.0.1:8080"),
        Flag(
            "operator-listen", "Address for operators.", daemon.address, "127.0.0.1:0"
        ),
        Flag("peer-listen", "Address for peers.", daemon.address, "127.0.0.1:0"),
        SecretFlag(
            "operator-token-file",
            "File with the token of operators; without one all are refused.",
            str,
            "",
        ),
        Flag(
            "drain-delay-s",
            "Seconds to serve on after SIGTERM, for the load balancer.",
            daemon.drain_delay,
            "5",
        ),
        Flag(
            "version-test",
            "How starting versions are judged: sequential; threshold and fixed are "
            "baselines of measurements.",
            daemon.version_test,
            "sequential",
        ),
        *daemon.COMMON_FLAGS,
        *daemon.TRANSPORT_FLAGS,
    )

    def build(self, values: dict[str, Any]) -> Program:
        """Builds the router."""
        from heatherswitch.router.shell import Router, RouterConfig

        return Router.from_config(RouterConfig(**daemon.transport_config(values)))


def main() -> None:
    """Entry point of the ``heatherswitch-router`` program."""
    sys.exit(run_daemon(RouterCommand(), sys.argv[1:]))


if __name__ == "__main__":
    main()
