import asyncio
import contextlib
import io
import json
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from heatherswitch.ui import daemon, operator
from heatherswitch.ui.agent import AgentCommand
from heatherswitch.ui.router import RouterCommand
from heatherswitch.util.http_server import HttpServer

SETTINGS = {
    "revision": 9,
    "nodes": {"/zone=z1": {"revision": 7, "overrides": {"share": 2}}},
}
MOVE = {
    "id": "m1",
    "kind": "zone_out",
    "zone": "z1",
    "effective_state": "taken_back",
    "share": 0.0,
    "remaining_s": 0.0,
    "reason": "deadline",
}


class OperatorCommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = []
        self.answers = {}
        server = HttpServer(self.answer)
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.stop, 0)
        self.environment = {
            "HEATHERSWITCH_ROUTER": f"127.0.0.1:{server.port}",
            "HEATHERSWITCH_OPERATOR_TOKEN": "secret",
        }

    async def answer(self, request, responder):
        body = json.loads(request.body) if request.body else None
        self.calls.append((request.method, request.target, body))
        if request.header("authorization") != "Bearer secret":
            await responder.send_json(401, {"error": {"message": "wrong token"}})
            return
        key = f"{request.method} {request.path}"
        status, value = self.answers.get(key, (200, {"revision": 10}))
        if key == "GET /v1/settings":
            value = SETTINGS
        await responder.send_json(status, value)

    async def command(self, *arguments):
        """Returns exit code, output and errors of one command line."""
        output, errors = BufferedOutput(), BufferedOutput()
        source = ArgvInput(["heatherswitch", *arguments])
        with mock.patch.dict(os.environ, self.environment):
            code = await asyncio.to_thread(operator.run, source, output, errors)
        return code, output.fetch(), errors.fetch()

    def settings_file(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.yaml"
        path.write_text(text)
        return str(path)

    async def test_set_keeps_other_values_and_compares_the_revision(self):
        # Guards against a change that removes what another operator has set.
        code, out, _ = await self.command("set", "/zone=z1", "zone_state=out")
        self.assertEqual((code, out), (0, "accepted at revision 10\n"))
        body = {"overrides": {"share": 2, "zone_state": "out"}, "revision": 7}
        self.assertEqual(
            self.calls[-1], ("PUT", "/v1/settings?path=%2Fzone%3Dz1", body)
        )

    async def test_each_error_is_one_line_with_its_exit_code(self):
        # Guards against scripts that take an unknown outcome for a refusal.
        for status, expected in ((400, 2), (503, 3), (409, 4), (504, 5), (500, 7)):
            error = {"error": {"message": "reason\nsecond line"}}
            self.answers["PUT /v1/settings"] = (status, error)
            code, _, errors = await self.command("set", "/", "share=2")
            self.assertEqual((code, errors.count("\n")), (expected, 1), errors)
        self.environment["HEATHERSWITCH_OPERATOR_TOKEN"] = "wrong"
        self.assertEqual((await self.command("status"))[0], 6)
        self.environment["HEATHERSWITCH_OPERATOR_TOKEN"] = ""
        self.assertEqual((await self.command("status"))[0], 6)
        self.environment["HEATHERSWITCH_ROUTER"] = "127.0.0.1:1"
        self.environment["HEATHERSWITCH_OPERATOR_TOKEN"] = "secret"
        self.assertEqual((await self.command("status"))[0], 3)

    async def test_wrong_command_lines_are_refused(self):
        for arguments in (
            ("sett",),
            ("set", "/", "share"),
            ("set", "/", "share=[", "x=1"),
            ("set", "/"),
            ("apply",),
            ("apply", "-f", "/nowhere/settings.yaml"),
            ("zone", "out", "z1", "--deadline", "soon"),
            ("status", "--router", "nowhere"),
        ):
            code, _, errors = await self.command(*arguments)
            self.assertEqual((code, errors.count("\n")), (2, 1), errors)

    async def test_diff_and_apply_of_an_exported_file(self):
        # Guards against a file form that export writes and apply cannot read.
        _, exported, _ = await self.command("export")
        path = self.settings_file(exported)
        self.assertEqual((await self.command("diff", "-f", path))[0], 0)
        path = self.settings_file("/zone=z2: {share: 3}\n")
        code, out, _ = await self.command("diff", "-f", path, "--json")
        self.assertEqual((code, len(json.loads(out)["differences"])), (1, 2))
        answer = {"revision": 11, "changed": ["/zone=z2"], "dry_run": False}
        self.answers["POST /v1/apply"] = (200, answer)
        code, out, _ = await self.command("apply", "-f", path, "--prune")
        self.assertEqual((code, out.splitlines()[0]), (0, "changed /zone=z2"))
        nodes = self.calls[-1][2]["nodes"]
        self.assertEqual(nodes, {"/zone=z1": None, "/zone=z2": {"share": 3}})

    async def test_orders_call_the_api(self):
        order = {"revision": 12, "move": "m1"}
        self.answers["POST /v1/zones/z1/out"] = (200, order)
        code, out, _ = await self.command("zone", "out", "z1", "--deadline", "60")
        self.assertEqual(self.calls[-1][2], {"deadline_s": 60.0})
        self.assertIn("move watch m1", out)
        await self.command("version", "take-back", "chat", "v2")
        self.assertEqual(self.calls[-1][1], "/v1/versions/chat/v2/take-back")
        self.answers["GET /v1/moves/m1"] = (200, MOVE)
        code, out, _ = await self.command("move", "watch", "m1")
        self.assertEqual((code, out), (1, "m1 zone_out z1: taken_back (deadline)\n"))

    async def test_every_command_teaches_by_example(self):
        for command in operator.COMMANDS:
            self.assertIn(f"heatherswitch {command.name}", command.help)


class FakeProgram:
    addresses = {"peer": "127.0.0.1:1", "metrics": "127.0.0.1:2"}

    def __init__(self):
        self.stopped = False

    async def start(self):
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)

    async def stop(self):
        self.stopped = True


class DaemonTest(unittest.TestCase):
    def run_command(self, command, arguments, environment=None):
        program = FakeProgram()
        values = {}
        errors = io.StringIO()
        with (
            mock.patch.object(command, "build", lambda v: values.update(v) or program),
            mock.patch.object(command, "configure_logs"),
            mock.patch.dict(os.environ, environment or {}),
            contextlib.redirect_stderr(errors),
        ):
            code = daemon.run_daemon(command, arguments)
        return code, values, errors.getvalue(), program

    def test_sigterm_stops_gracefully_and_the_ready_file_is_whole(self):
        # Guards against a stop that interrupts requests, and a half-written file.
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "ready.json"
            arguments = ["--id=a1", "--zone=z1", "--service=chat", "--version=v1"]
            arguments += ["--backend=127.0.0.1:80", f"--ready-file={path}"]
            code, values, _, program = self.run_command(AgentCommand(), arguments)
            self.assertEqual(json.loads(path.read_text()), FakeProgram.addresses)
            self.assertEqual(list(Path(directory).iterdir()), [path])
        self.assertEqual((code, program.stopped), (0, True))
        self.assertEqual((values["version"], values["peers"]), ("v1", []))

    def test_environment_sets_flags_and_flags_win(self):
        environment = {
            "HEATHERSWITCH_ID": "r1",
            "HEATHERSWITCH_ZONE": "z1",
            "HEATHERSWITCH_PEERS": "127.0.0.1:1, 127.0.0.1:2",
            "HEATHERSWITCH_DRAIN_DELAY_S": "0.5",
        }
        code, values, _, _ = self.run_command(
            RouterCommand(), ["--zone", "z2"], environment
        )
        self.assertEqual(
            (code, values["zone"], values["drain_delay_s"]), (0, "z2", 0.5)
        )
        self.assertEqual(values["peers"], ["127.0.0.1:1", "127.0.0.1:2"])

    def test_wrong_flags_end_with_one_line_and_code_2(self):
        # Guards against a process that starts with a setting it does not understand.
        good = ["--id", "r1", "--zone", "z1"]
        for arguments in (
            [],
            ["--id", "r 1", "--zone", "z1"],
            [*good, "--listen", "8080"],
            [*good, "--listen", "127.0.0.1:99999"],
            [*good, "--drain-delay-s", "nan"],
            [*good, "--log-level", "loud"],
            [*good, "--color", "red"],
        ):
            code, _, errors, _ = self.run_command(RouterCommand(), arguments)
            self.assertEqual((code, errors.count("\n")), (2, 1), errors)
