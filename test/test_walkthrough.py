"""Runs the operators' guide and a caller's client library on a real deployment."""

import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import openai

from emulator.launch import LaunchConfig, Launcher

ROOT = Path(__file__).parent.parent
GUIDE = ROOT / "docs" / "guides" / "operators.md"
COMMAND = f"{sys.executable} -m heatherswitch.ui.operator"


def guide_commands():
    """Returns the command lines of the guide and their expected exit codes."""
    blocks = re.findall(r"```console\n(.*?)```", GUIDE.read_text(), re.DOTALL)
    for line in "".join(blocks).splitlines():
        text, _, comment = line.removeprefix("$ ").partition("  #")
        yield text.strip(), int(comment.split()[-1]) if comment else 0


class WalkthroughTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.launch = Launcher.from_config(LaunchConfig(run_directory=self.directory))
        self.addAsyncCleanup(self.launch.stop)
        await self.launch.start()
        self.endpoints = self.launch.endpoints()

    def run_command(self, line):
        """Returns exit code and output of one line of the guide."""
        environment = os.environ | {
            "HEATHERSWITCH_ROUTER": self.endpoints["routers"][0]["operator"],
            "HEATHERSWITCH_OPERATOR_TOKEN": self.endpoints["operator_token"],
            "PYTHONPATH": str(ROOT),
        }
        line = line.replace("heatherswitch", COMMAND, 1)
        done = subprocess.run(
            line,
            shell=True,
            cwd=self.directory,
            env=environment,
            capture_output=True,
            text=True,
            timeout=90,
        )
        return done.returncode, done.stdout + done.stderr

    async def test_guide_and_client_library(self):
        # Guards against a guide whose commands do not work, and against an answer
        # or an error that the usual client library cannot read.
        for line, expected in guide_commands():
            with self.subTest(line):
                code, output = self.run_command(line)
                self.assertEqual(code, expected, output)
        self.check_client_library()

    def client(self, key):
        caller = self.endpoints["routers"][1]["caller"]
        return openai.OpenAI(
            base_url=f"http://{caller}/v1", api_key=key, max_retries=0, timeout=30
        )

    def check_client_library(self):
        client = self.client("demo-huon-leaf")
        request = {
            "model": "appraiser",
            "messages": [{"role": "user", "content": "Appraise lot 7."}],
            "max_tokens": 8,
        }
        answer = client.chat.completions.create(**request)
        again = client.chat.completions.create(**request)
        self.assertEqual(
            again.choices[0].message.content, answer.choices[0].message.content
        )
        self.assertEqual(answer.usage.completion_tokens, 8)
        parts = client.chat.completions.create(**request, stream=True)
        text = "".join(p.choices[0].delta.content or "" for p in parts if p.choices)
        self.assertEqual(text, answer.choices[0].message.content)
        with self.assertRaises(openai.AuthenticationError):
            self.client("wrong").models.list()
        with self.assertRaises(openai.APIStatusError) as caught:
            client.chat.completions.create(**request | {"model": "no-such-service"})
        error = json.loads(caught.exception.response.text)["error"]
        self.assertEqual((error["outcome"], error["retry"]), ("not_run", "never"))
