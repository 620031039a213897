"""Runs the commands of the operators' guide and the OpenAI client on a real fleet."""

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
    """Yields the command lines of the guide and their expected exit codes.

    The last word of a comment after two spaces is the exit code; without one it is 0.
    """
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
        """Runs one line of the guide in a shell; returns its exit code and all output."""
        environment = os.environ | {
            "HEATHERSWITCH_ROUTER": self.endpoints["routers"][0]["operator"],
            "HEATHERSWITCH_OPERATOR_TOKEN": self.endpoints["operator_token"],
            "PYTHONPATH": str(ROOT),
        }
        line = line.replace("heatherswitch", COMMAND, 1)
        process = subprocess.run(
            line,
            shell=True,
            cwd=self.directory,
            env=environment,
            capture_output=True,
            text=True,
            timeout=90,
        )
        return process.returncode, process.stdout + process.stderr

    async def test_guide_commands_and_openai_client(self):
        # Guards against commands in the guide that fail, and against responses and
        # errors that the OpenAI client library cannot parse.
        for line, expected in guide_commands():
            with self.subTest(line):
                code, output = self.run_command(line)
                self.assertEqual(code, expected, output)
        self.check_openai_client()

    def openai_client(self, key):
        """Returns an OpenAI client with an API key, connected to the second router."""
        caller = self.endpoints["routers"][1]["caller"]
        return openai.OpenAI(
            base_url=f"http://{caller}/v1", api_key=key, max_retries=0, timeout=30
        )

    def check_openai_client(self):
        client = self.openai_client("demo-huon-leaf")
        request = {
            "model": "appraiser",
            "messages": [{"role": "user", "content": "Appraise lot 7."}],
            "max_tokens": 8,
        }
        response = client.chat.completions.create(**request)
        repeated = client.chat.completions.create(**request)
        self.assertEqual(
            repeated.choices[0].message.content, response.choices[0].message.content
        )
        self.assertEqual(response.usage.completion_tokens, 8)
        chunks = client.chat.completions.create(**request, stream=True)
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        self.assertEqual(text, response.choices[0].message.content)
        with self.assertRaises(openai.AuthenticationError):
            self.openai_client("wrong").models.list()
        with self.assertRaises(openai.APIStatusError) as caught:
            client.chat.completions.create(**request | {"model": "no-such-service"})
        error = json.loads(caught.exception.response.text)["error"]
        self.assertEqual((error["outcome"], error["retry"]), ("not_run", "never"))
