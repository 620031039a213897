"""Tests of settings files with malformed values."""

import copy
import json
import pathlib
import tempfile
import unittest

from heatherswitch.platform.launch import bind_listeners
from heatherswitch.platform.settings import parse_gateway_config
from heatherswitch.platform.settings_file import SettingsError, read_settings
from test.test_platform_formats import SETTINGS

BAD_TEXTS = ("[" * 900 + "]" * 900, "1e999", "9" * 400, "NaN", "true", r'"a\u0000b"')
FIELDS = (
    *(("node_name",), ("zone",), ("zones",), ("ip",), ("bounds",), ("limits",)),
    *(("listen",), ("listen", "front"), ("listen", "ready"), ("limits", "max_fds")),
    *(("platform",), ("platform", "address"), ("platform", "writes_per_s")),
    *(("bounds", "grace_s"), ("bounds", "revoke_ms"), ("bounds", "drain_ms")),
    *(("bounds", "retry_budget_ratio"), ("bounds", "canary_slack")),
)


class MalformedSettingsTest(unittest.TestCase):
    """Guards the start: it must end with a message that names the field."""

    def read(self, text: str) -> dict:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings"
            path.write_text(text, errors="surrogateescape")
            return read_settings(str(path))

    def test_unreadable_files_are_settings_errors(self):
        for text in (
            *("", "[", "[" * 5000, "- " * 5000, "\udcff", "a: " + "9" * 5000, "\x00"),
            *("!!int ''", "!!float ''", "!!bool x", "!!timestamp x", "2020-99-99"),
        ):
            with self.subTest(text[:20]), self.assertRaises(SettingsError):
                self.read(text)
        with self.assertRaises(SettingsError):
            read_settings("a\x00b")

    def test_malformed_fields_are_named(self):
        for path in FIELDS:
            for text in BAD_TEXTS:
                document = copy.deepcopy(SETTINGS)
                parent = document
                for name in path[:-1]:
                    parent = parent[name]
                parent[path[-1]] = "VALUE"
                settings = self.read(json.dumps(document).replace('"VALUE"', text))
                with self.subTest(path=path, text=text[:9]):
                    with self.assertRaisesRegex(SettingsError, path[-1]) as caught:
                        parse_gateway_config(settings)
                    self.assertLessEqual(len(str(caught.exception)), 400)

    def test_malformed_port_ranges_are_named(self):
        for ports in (
            7,
            "7000",
            {},
            ["a", 1],
            [1, None],
            [1e300, 5],
            [1, 70000],
            [-1, 5],
        ):
            settings = SETTINGS | {"internal_port_range": ports}
            with (
                self.subTest(ports=ports),
                self.assertRaisesRegex(SettingsError, "internal_port_range"),
            ):
                parse_gateway_config(settings)

    def test_ports_that_do_not_exist_are_settings_errors(self):
        for port in ("70000", "-1", "9" * 400, "x", "9" * 5000):
            address = f"127.0.0.1:{port}"
            with self.subTest(port[:9]), self.assertRaises(SettingsError):
                bind_listeners({"listen": {"front": address, "ready": address}})


if __name__ == "__main__":
    unittest.main()
