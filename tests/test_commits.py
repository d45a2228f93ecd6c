"""The queue of records for the store: concurrent writes, but those of one job in order."""

from __future__ import annotations

import asyncio
import math
import unittest
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import cast

from saddlestack.control.commits import MAX_CONCURRENT_WRITES, CommitQueue, JobRecords
from saddlestack.control.journal import MAX_RECORDS_PER_WRITE, Journal, LeadershipLost
from saddlestack.standins.loop import VirtualClock, run
from tests.support import bare_context

ANSWER_S = 0.1
MOMENT_S = 0.01


@dataclass
class SlowJournal:
    """A slow journal; records with a key in ``gates`` wait until its event is set."""

    gates: dict[str, asyncio.Event] = field(default_factory=dict)
    displaced: bool = False
    done: list[str] = field(default_factory=list)
    values: dict[str, list[bytes]] = field(default_factory=dict)
    sizes: list[int] = field(default_factory=list)

    async def commit(self, records: Mapping[str, bytes], tries: float = math.inf) -> None:
        self.sizes.append(len(records))
        for key in records:
            if key in self.gates:
                await self.gates[key].wait()
        await asyncio.sleep(ANSWER_S)
        if self.displaced:
            raise LeadershipLost
        self.done += records
        for key, value in records.items():
            self.values.setdefault(key, []).append(value)


@dataclass
class Scene:
    journal: SlowJournal
    commits: CommitQueue
    callbacks_run: list[str]
    failures: list[str]

    def put(self, version: int, **jobs: str) -> None:
        """Queue records of some jobs; each word is a record's key."""
        decisions = []
        for job_id, keys in jobs.items():
            on_written = partial(
                self.callbacks_run.append, "+".join(keys.split()) or f"none {version}"
            )
            records = dict.fromkeys(keys.split(), str(version).encode())
            decisions.append(JobRecords(job_id, records, on_written))
        self.commits.put(version, decisions)

    async def answer(self) -> None:
        """Wait until the store has answered once."""
        await asyncio.sleep(ANSWER_S + MOMENT_S)


class CommitsTest(unittest.TestCase):
    def play(self, body: Callable[[Scene], Awaitable[None]]) -> None:
        async def main() -> None:
            clock = VirtualClock()
            context = bare_context(clock)
            journal = SlowJournal()
            failures: list[str] = []
            commits = CommitQueue(context, cast(Journal, journal), failures.append)
            await body(Scene(journal, commits, [], failures))
            await commits.stop()

        run(main())

    def test_a_pending_write_delays_no_other_job(self) -> None:
        async def body(scene: Scene) -> None:
            gate = scene.journal.gates["a1"] = asyncio.Event()
            scene.put(1, a="a1")
            scene.put(2, b="b1")
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["b1"])
            gate.set()
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["b1", "a1"])

        self.play(body)

    def test_a_queued_write_of_the_same_job_delays_no_other_job(self) -> None:
        """The scheduling loop blocked as soon as a second record of a pending job was queued."""

        async def body(scene: Scene) -> None:
            gate = scene.journal.gates["a1"] = asyncio.Event()
            scene.put(1, a="a1")
            scene.put(2, a="a2", b="b1")
            scene.put(3, c="c1")
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["b1", "c1"])
            self.assertEqual(scene.journal.done, ["b1", "c1"])
            gate.set()
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["b1", "c1", "a1"])
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["b1", "c1", "a1", "a2"])

        self.play(body)

    def test_callbacks_of_one_job_run_in_order_with_records_or_without(self) -> None:
        async def body(scene: Scene) -> None:
            scene.put(1, a="a1")
            scene.put(2, a="a2", b="b1")
            scene.put(3, a="")
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["a1", "b1"])
            await scene.answer()
            self.assertEqual(scene.callbacks_run, ["a1", "b1", "a2", "none 3"])
            scene.put(4, a="")
            self.assertEqual(scene.callbacks_run[-1], "none 4")

        self.play(body)

    def test_only_the_latest_queued_version_is_written_and_every_callback_runs(self) -> None:
        async def body(scene: Scene) -> None:
            for version in range(1, 5):
                scene.put(version, a="a1")
            for _ in range(3):
                await scene.answer()
            self.assertEqual(scene.journal.values["a1"], [b"1", b"4"])
            self.assertEqual(scene.callbacks_run, ["a1"] * 4)

        self.play(body)

    def test_waiting_for_a_version_waits_for_all_earlier_records_of_the_job(self) -> None:
        async def body(scene: Scene) -> None:
            gate = scene.journal.gates["a1"] = asyncio.Event()
            scene.put(1, a="a1")
            scene.put(2, a="a2", b="b1")
            first = asyncio.ensure_future(scene.commits.written(1, {"a"}))
            both = asyncio.ensure_future(scene.commits.written(2, {"a", "b"}))
            other = asyncio.ensure_future(scene.commits.written(2, {"b"}))
            undecided = asyncio.ensure_future(scene.commits.written(3, {"b"}))
            await asyncio.sleep(1.0)
            done = [each.done() for each in (first, both, other, undecided)]
            self.assertEqual(done, [False, False, True, False])
            scene.put(3)
            gate.set()
            await scene.answer()
            self.assertTrue(undecided.done())
            self.assertFalse(both.done())
            await scene.answer()
            self.assertTrue(first.done() and both.done())

        self.play(body)

    def test_concurrent_writes_are_limited(self) -> None:
        async def body(scene: Scene) -> None:
            for number in range(MAX_CONCURRENT_WRITES + 1):
                scene.put(number, **{str(number): f"k{number}"})
            await asyncio.sleep(MOMENT_S)
            self.assertEqual(len(scene.journal.sizes), MAX_CONCURRENT_WRITES)
            await scene.answer()
            self.assertEqual(len(scene.callbacks_run), MAX_CONCURRENT_WRITES)
            await scene.answer()
            self.assertEqual(len(scene.callbacks_run), MAX_CONCURRENT_WRITES + 1)

        self.play(body)

    def test_a_round_is_written_in_concurrent_transactions(self) -> None:
        """A start waited while the records of all other jobs of its round were written in turn."""

        async def body(scene: Scene) -> None:
            many = 3 * MAX_RECORDS_PER_WRITE
            scene.put(1, **{f"j{number}": f"k{number}" for number in range(many)})
            await scene.answer()
            self.assertEqual(len(scene.callbacks_run), many)
            self.assertEqual(scene.journal.sizes, [MAX_RECORDS_PER_WRITE] * 3)

        self.play(body)

    def test_the_callback_of_a_job_of_many_records_runs_once_all_are_written(self) -> None:
        async def body(scene: Scene) -> None:
            keys = " ".join(f"a{number}" for number in range(MAX_RECORDS_PER_WRITE + 1))
            scene.put(1, b="b1", a=keys, c="c1")
            await scene.answer()
            self.assertEqual(scene.journal.sizes, [1, MAX_RECORDS_PER_WRITE + 1, 1])
            self.assertEqual(len(scene.callbacks_run), 3)

        self.play(body)

    def test_no_callback_runs_after_leadership_is_lost(self) -> None:
        async def body(scene: Scene) -> None:
            scene.journal.displaced = True
            scene.put(1, a="a1")
            scene.put(2, a="a2")
            await asyncio.sleep(1.0)
            self.assertEqual(scene.callbacks_run, [])
            self.assertEqual(len(scene.failures), 1)

        self.play(body)
