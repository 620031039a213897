"""Installs the libraries that a gateway imports, at the versions of pyproject.toml."""

import pathlib
import subprocess
import sys
import tomllib

# Libraries of the gateway; the other daemons need more.
GATEWAY_LIBRARIES = (
    "aioprometheus",
    "h11",
    "hdrhistogram",
    "msgpack",
    "python-json-logger",
    "PyYAML",
    "xxhash",
)


def requirements(project: pathlib.Path) -> list[str]:
    """Returns the requirements of the gateway from the project's own list."""
    listed = tomllib.loads(project.read_text())["project"]["dependencies"]
    chosen = [line for line in listed if line.split("==")[0] in GATEWAY_LIBRARIES]
    if len(chosen) != len(GATEWAY_LIBRARIES):
        raise SystemExit("pyproject.toml lacks a library of the gateway")
    return chosen


def main(target: str) -> None:
    """Installs into a folder and marks it as newer than pyproject.toml."""
    project = pathlib.Path(__file__).parent.parent / "pyproject.toml"
    install = [sys.executable, "-m", "pip", "install", "-q", "-U", "--target", target]
    subprocess.run([*install, *requirements(project)], check=True)
    pathlib.Path(target).touch()


if __name__ == "__main__":
    main(sys.argv[1])
