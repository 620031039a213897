"""Tests of the deploy file and of the libraries that its build installs."""

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
# Program that prints the top-level modules which the gateway imports.
LIST_IMPORTS = """
import json, sys
import heatherswitch.platform.gateway
import heatherswitch.platform.launch
import heatherswitch.router.health
print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))
"""


def canonical_name(name: str) -> str:
    """Returns the name of a distribution from a requirement, for comparisons."""
    return re.split(r"[^A-Za-z0-9._-]", name)[0].lower().replace("_", "-")


class DeployTest(unittest.TestCase):
    def installed_libraries(self) -> set[str]:
        """Returns the libraries that the build installs, with their dependencies."""
        install = runpy.run_path(str(ROOT / "deploy" / "install.py"))
        lines = install["requirements"](ROOT / "pyproject.toml")
        found, pending = set(), [canonical_name(line.split("==")[0]) for line in lines]
        while pending:
            name = pending.pop()
            if name not in found:
                found.add(name)
                needed = [r for r in requires(name) or () if "extra ==" not in r]
                pending += [canonical_name(r) for r in needed]
        return found

    def test_gateway_imports_only_what_the_build_installs(self):
        """Guards against a gateway that cannot start for want of a library.

        The platform's VMs have no libraries but those of the build.
        """
        command = [sys.executable, "-c", LIST_IMPORTS]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
        distributions = packages_distributions()
        imported = {
            canonical_name(distribution)
            for module in json.loads(completed.stdout)
            for distribution in distributions.get(module, ())
        }
        # Modules that Python loads by itself in a development environment.
        imported -= {"heatherswitch", "setuptools", "certifi", "matplotlib", "pip"}
        self.assertLessEqual(imported, self.installed_libraries())

    def test_deployed_program_reports_missing_settings(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        _, *arguments = deploy["roles"]["gateway"]["run"].split()
        completed = subprocess.run(
            [sys.executable, *arguments], cwd=ROOT, capture_output=True, env={}
        )
        self.assertEqual(completed.returncode, 2)
        self.assertIn(b"HEATHERSWITCH_CONFIG is not set", completed.stderr)

    def test_deployed_metrics_port_is_that_of_the_program(self):
        from heatherswitch.platform.gateway import METRICS_PORT

        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        expected = f"{METRICS_PORT}/metrics"
        self.assertEqual(deploy["roles"]["gateway"]["metrics"], expected)
