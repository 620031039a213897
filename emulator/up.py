"""Runs a deployment until it is interrupted.

``python -m emulator.up --deployment leafline`` writes ``.run/endpoints.json`` with the
addresses for callers, operators and metrics and the demo keys.
"""

import argparse
import asyncio
import json
import sys
from pathlib import Path

from emulator.deployments import DEPLOYMENTS
from emulator.launch import LaunchConfig, Launcher
from emulator.processes import LaunchError
from emulator.standin import (
    INTERRUPTED_EXIT_CODE,
    cancel_on_sigterm,
    wait_for_stop_signal,
)
from heatherswitch.util.logs import configure_logs

ENDPOINTS_FILE_NAME = "endpoints.json"


def usage_lines(endpoints: dict, endpoints_path: Path) -> list[str]:
    """Returns the lines that tell a user how to reach the deployment."""
    router = endpoints["routers"][0]
    workspace, key = next(iter(endpoints["keys"].items()))
    return [
        f"{endpoints['deployment']} is running; addresses and keys are in {endpoints_path}",
        f"callers:  http://{router['caller']}  (key of {workspace}: {key})",
        f"operator: http://{router['operator']}  (token in {endpoints_path.name})",
        f"metrics:  http://{router['metrics']}/metrics",
        "Press Ctrl-C to stop it.",
    ]


async def _main(options: argparse.Namespace) -> int:
    cancel_on_sigterm()
    directory = Path(options.run_directory)
    config = LaunchConfig(DEPLOYMENTS[options.deployment], directory)
    launcher = Launcher.from_config(config)
    try:
        await launcher.start()
    except LaunchError as error:
        print(f"up: {error}", file=sys.stderr)
        return 1
    endpoints_path = launcher.run_directory / ENDPOINTS_FILE_NAME
    endpoints_path.write_text(json.dumps(launcher.endpoints(), indent=2))
    print("\n".join(usage_lines(launcher.endpoints(), endpoints_path)), flush=True)
    try:
        await wait_for_stop_signal()
    finally:
        killed = await launcher.stop()
        endpoints_path.unlink(missing_ok=True)
    if killed:
        print(f"up: needed SIGKILL to stop: {', '.join(killed)}", file=sys.stderr)
    return 1 if killed else 0


def main() -> int:
    """Runs until SIGINT or SIGTERM and returns the exit code."""
    parser = argparse.ArgumentParser(prog="up", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--run-directory", default=".run")
    options = parser.parse_args()
    configure_logs("up", options.deployment, "warning")
    try:
        return asyncio.run(_main(options))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED_EXIT_CODE


if __name__ == "__main__":
    raise SystemExit(main())
