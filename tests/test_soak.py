"""A short soak of real processes from fixed seeds, and the proxy it plays faults with."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.soak.processes import EntryProcess
from saddlestack.soak.proxy import Proxy, Trouble
from saddlestack.soak.run import SoakPlan, run
from saddlestack.standins.loop import run as run_virtually


class SoakTest(unittest.TestCase):
    def test_a_short_soak_keeps_the_promises(self) -> None:
        verdict = asyncio.run(run(SoakPlan(seed=7, seconds=6.0, entries=3, workers=4)))
        self.assertEqual(verdict.broken, [], f"logs: {verdict.logs}")
        self.assertGreater(verdict.accepted, 5)


class EntryProcessTest(unittest.TestCase):
    def test_restarts_that_overlap_leave_one_process(self) -> None:
        """Found after a soak: processes of VMs restarted twice at once were left behind."""

        async def body() -> None:
            entry = CountedProcess("entry-1", Path("/nowhere"), 1)
            await entry.start()
            await asyncio.gather(
                entry.kill_and_restart(0.1), entry.stop_and_restart(), entry.kill_and_restart(0.0)
            )
            self.assertEqual(sum(process.returncode is None for process in entry.all), 1)
            await entry.end()
            self.assertEqual(sum(process.returncode is None for process in entry.all), 0)

        asyncio.run(body())


@dataclass(slots=True)
class CountedProcess(EntryProcess):
    """Starts a process that waits for signals in place of an entry VM."""

    all: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec("sleep", "60")
        self.all.append(self.process)


class ProxyTest(unittest.TestCase):
    def test_troubles(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def body() -> None:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            proxy = Proxy("127.0.0.1", "127.0.0.1", server.sockets[0].getsockname()[1])
            await proxy.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
            writer.write(b"a")
            self.assertEqual(await reader.read(1), b"a")
            for trouble in (Trouble.SILENT, Trouble.ONE_WAY):
                proxy.set(trouble)
                writer.write(b"b")
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await reader.read(1)
                proxy.set(Trouble.NONE)
                self.assertEqual(await reader.read(1), b"b")
            proxy.set(Trouble.DELAY, 0.5)
            writer.write(b"c")
            began = asyncio.get_running_loop().time()
            self.assertEqual(await reader.read(1), b"c")
            self.assertGreaterEqual(asyncio.get_running_loop().time() - began, 0.5)
            proxy.set(Trouble.RESET)
            with self.assertRaises(ConnectionResetError):
                if not await reader.read(1):
                    raise ConnectionResetError
            writer.close()
            await proxy.stop()
            server.close()

        run_virtually(body())


if __name__ == "__main__":
    unittest.main()
