"""Tests of the non-blocking log handler and of commands that read gateway files."""

import io
import json
import logging
import os
import pathlib
import tempfile
import unittest

from cleo.io.inputs.string_input import StringInput
from cleo.io.outputs.buffered_output import BufferedOutput

from heatherswitch.gateway.request_log import collect
from heatherswitch.ui import operator
from heatherswitch.util.bounded_logs import BoundedHandler, build_handler


class BoundedHandlerTest(unittest.TestCase):
    def open_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        stream = os.fdopen(writer, "w")
        self.addCleanup(stream.close)
        return reader, stream

    def make_record(self, text: str) -> logging.LogRecord:
        return logging.LogRecord("x", logging.INFO, "", 0, text, (), None)

    def test_full_pipe_does_not_block(self):
        """Guards against a stalled log reader that also stalls the gateway."""
        reader, stream = self.open_pipe()
        handler = BoundedHandler(stream, lines_per_s=1e9, burst_lines=1e9)
        for _ in range(2000):
            handler.emit(self.make_record("x" * 200))
        self.assertGreater(handler.dropped, 0)
        os.read(reader, 1 << 20)
        dropped = handler.dropped
        record = self.make_record("again")
        handler.emit(record)
        self.assertEqual((record.dropped_lines, handler.dropped), (dropped, 0))

    def test_rate_of_lines_is_limited(self):
        reader, stream = self.open_pipe()
        now = [0.0]
        handler = BoundedHandler(stream, 10.0, 20.0, lambda: now[0])
        for _ in range(100):
            handler.emit(self.make_record("x"))
        self.assertEqual(os.read(reader, 1 << 20).count(b"\n"), 20)
        now[0] = 1.0
        for _ in range(100):
            handler.emit(self.make_record("x"))
        self.assertEqual(os.read(reader, 1 << 20).count(b"\n"), 10)

    def test_stream_without_a_file_descriptor(self):
        self.assertIsInstance(build_handler(io.StringIO()), logging.StreamHandler)


LINES = [
    {"timestamp": "2", "instance": "b", "message": "request ended", "request": "r1",
     "effect": "Refuse", "status": 503, "reason": "the queue is full"},
    {"timestamp": "1", "instance": "b", "message": "request forwarded",
     "request": "r1", "server": "s1", "reason": "affinity", "dropped_lines": 3},
    {"timestamp": "1", "instance": "a", "message": "request forwarded",
     "request": "r2", "server": "s1"},
]  # fmt: skip


class RequestLogTest(unittest.TestCase):
    def log_text(self) -> str:
        lines = ["  1.25 edge-a " + json.dumps(line) for line in LINES]
        return "\n".join([*lines, "Traceback", "{broken", ""])

    def test_trail_has_the_sorted_lines_of_a_request_and_its_cause(self):
        trail = collect("r1", self.log_text().splitlines())
        self.assertEqual(
            [line.message for line in trail.lines],
            ["request forwarded", "request ended"],
        )
        self.assertEqual(trail.cause, "the queue is full")
        self.assertEqual((trail.malformed, trail.dropped), (2, 3))

    def test_malformed_lines_are_counted(self):
        """Guards against one odd line that ends the command."""
        lines = ["{" * 5000, '{"a": ' * 5000, "{" + "9" * 5000, '{"a": ' + "9" * 5000]
        lines += [
            f'{{"request": "r1", "dropped_lines": {value}}}'
            for value in ("1e999", "[1]", '"x"', "true", "-1", "NaN")
        ]
        good = '{"request": "r1", "message": "request ended", "dropped_lines": null}'
        trail = collect("r1", [*lines, good])
        self.assertEqual((trail.malformed, len(trail.lines)), (len(lines), 1))

    def run_command(self, line: str) -> tuple[int, str, str]:
        output, errors = BufferedOutput(), BufferedOutput()
        code = operator.run(StringInput(line), output, errors)
        return code, output.fetch(), errors.fetch()

    def test_follow_command(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "gateway.log"
            path.write_text(self.log_text())
            code, output, _ = self.run_command(f"follow r1 {path}")
            self.assertEqual(code, 0)
            self.assertIn("cause: the queue is full", output)
            code, _, errors = self.run_command(f"follow r9 {path}")
            self.assertNotEqual(code, 0)
            self.assertIn("no line about this request", errors)
            code, _, errors = self.run_command(f"follow r9 {path}.missing")
            self.assertIn("No such file", errors)

    def test_check_settings_command(self):
        from test.test_platform_formats import SETTINGS

        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.yaml"
            path.write_text(json.dumps(SETTINGS))
            code, output, _ = self.run_command(f"check-settings {path} --json")
            self.assertEqual((code, json.loads(output)["id"]), (0, "edge-a-1"))
            path.write_text("listen: 3")
            code, _, errors = self.run_command(f"check-settings {path}")
            self.assertNotEqual(code, 0)
            self.assertIn("settings", errors)
