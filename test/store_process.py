"""Starts the emulated store as a process, for tests."""

import asyncio
import json
import pathlib
import sys
import tempfile

from heatherswitch.util.http_client import HttpClient

START_TIMEOUT_S = 20.0


class StoreProcess:
    """A running process of the emulated store."""

    def __init__(self, process, directory, addresses) -> None:
        self._process = process
        self._directory = directory
        self.address: str = addresses["address"]
        self._control = HttpClient.from_address(addresses["control"])

    @classmethod
    async def start(cls, *options: str) -> "StoreProcess":
        directory = tempfile.TemporaryDirectory()
        ready = pathlib.Path(directory.name) / "ready.json"
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "emulator.store", "--port", "0"),
            *("--ready-file", str(ready), *options),
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not ready.exists():
                await asyncio.sleep(0.02)
        return cls(process, directory, json.loads(ready.read_text()))

    async def set_faults(self, **values) -> None:
        """Replaces the faults of the store; without arguments there are none."""
        status, _ = await self._control.request_json("POST", "/_faults", values)
        assert status == 200, status
        # Gives the listener time to close or reopen.
        await asyncio.sleep(0.1)

    async def stats(self) -> dict:
        return (await self._control.request_json("GET", "/_stats"))[1]

    async def stop(self) -> None:
        self._control.close()
        self._process.kill()
        await self._process.wait()
        self._directory.cleanup()
