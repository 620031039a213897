"""Installs the libraries of the gateway, in the versions that pyproject.toml pins."""

import pathlib
import subprocess
import sys
import tomllib

# Distributions that the gateway imports; the other daemons need more.
GATEWAY_LIBRARIES = (
    "aioprometheus",
    "h11",
    "hdrhistogram",
    "msgpack",
    "python-json-logger",
    "PyYAML",
    "xxhash",
)


def requirements(pyproject: pathlib.Path) -> list[str]:
    """Returns the pinned requirements of the gateway.

    :param pyproject: path of pyproject.toml.
    :raises SystemExit: if it does not list every library of the gateway.
    """
    dependencies = tomllib.loads(pyproject.read_text())["project"]["dependencies"]
    selected = [
        line for line in dependencies if line.split("==")[0] in GATEWAY_LIBRARIES
    ]
    if len(selected) != len(GATEWAY_LIBRARIES):
        raise SystemExit("pyproject.toml does not list every library of the gateway")
    return selected


def main(target: str) -> None:
    """Installs the libraries into a folder and sets its modification time.

    The build command skips the installation while the folder is newer than
    pyproject.toml and this file.
    """
    pyproject = pathlib.Path(__file__).parent.parent / "pyproject.toml"
    command = [sys.executable, "-m", "pip", "install", "-q", "-U", "--target", target]
    subprocess.run([*command, *requirements(pyproject)], check=True)
    pathlib.Path(target).touch()


if __name__ == "__main__":
    main(sys.argv[1])
