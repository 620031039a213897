"""The deploy file and the libraries that it installs."""

import json
import pathlib
import re
import runpy
import subprocess
import sys
import tomllib
import unittest
from importlib.metadata import packages_distributions, requires

ROOT = pathlib.Path(__file__).parent.parent
# Prints the top-level modules that the gateway has imported.
LIST_IMPORTS = """
import json, sys
import heatherswitch.platform.gateway
import heatherswitch.router.health
print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))
"""


def canonical(name: str) -> str:
    return re.split(r"[^A-Za-z0-9._-]", name)[0].lower().replace("_", "-")


class DeployTest(unittest.TestCase):
    def installed(self) -> set[str]:
        """Returns the libraries of the build, with what they require."""
        install = runpy.run_path(str(ROOT / "deploy" / "install.py"))
        lines = install["requirements"](ROOT / "pyproject.toml")
        found, todo = set(), [canonical(line.split("==")[0]) for line in lines]
        while todo:
            name = todo.pop()
            if name not in found:
                found.add(name)
                needed = [r for r in requires(name) or () if "extra ==" not in r]
                todo += [canonical(r) for r in needed]
        return found

    def test_gateway_imports_only_what_the_build_installs(self):
        """The platform's machines start clean: a missing library ends each start."""
        command = [sys.executable, "-c", LIST_IMPORTS]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
        owners = packages_distributions()
        used = {
            canonical(owner)
            for module in json.loads(done.stdout)
            for owner in owners.get(module, ())
        }
        # What the interpreter of a development environment loads by itself.
        used -= {"heatherswitch", "setuptools", "certifi", "matplotlib", "pip"}
        self.assertLessEqual(used, self.installed())

    def test_program_of_the_deploy_file_names_its_missing_settings(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        _, *arguments = deploy["roles"]["gateway"]["run"].split()
        done = subprocess.run(
            [sys.executable, *arguments], cwd=ROOT, capture_output=True, env={}
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn(b"HEATHERSWITCH_CONFIG is not set", done.stderr)

    def test_metrics_port_is_the_programs(self):
        from heatherswitch.platform.gateway import METRICS_PORT

        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        expected = f"{METRICS_PORT}/metrics"
        self.assertEqual(deploy["roles"]["gateway"]["metrics"], expected)
