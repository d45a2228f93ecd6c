"""Copies of the configuration that VMs get from each other."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

from saddlestack.control.configuration_copies import (
    MAX_COPY_BYTES,
    MAX_DOCUMENT_BYTES,
    ConfigurationCopies,
    ConfigurationCopyAnswer,
    ConfigurationCopyQuestion,
    ConfigurationVersionAnswer,
    ConfigurationVersionQuestion,
)
from saddlestack.interfaces.store import Item
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster

SETTLED_S = 4.0
PREFIX = "op/"


class CopiesTest(unittest.TestCase):
    """One VM does not follow the store, and gets what another one answers."""

    def play(self, body: Callable[[PoolCluster, ConfigurationCopies], Awaitable[None]]) -> None:
        async def main() -> None:
            cluster = PoolCluster(entries=2)
            await cluster.start()
            await asyncio.sleep(SETTLED_S)
            member = cluster.member("entry-2")
            member.view.faults.lost_watches = frozenset({PREFIX})
            try:
                await body(cluster, member.vm.refresh._copies)
            finally:
                await cluster.stop()

        run(main())

    def answer(self, cluster: PoolCluster, version: Any, copy: Any) -> list[str]:
        """Makes entry-1 give these answers; returns the questions that it is asked."""
        asked: list[str] = []

        async def answer_version(question: ConfigurationVersionQuestion) -> Any:
            asked.append("version")
            return version

        async def answer_copy(question: ConfigurationCopyQuestion) -> Any:
            asked.append("copy")
            return copy

        peers = cluster.member("entry-1").vm.peers
        peers.serve(ConfigurationVersionQuestion, answer_version)
        peers.serve(ConfigurationCopyQuestion, answer_copy)
        return asked

    def test_a_newer_document_is_fetched_and_applied(self) -> None:
        async def body(cluster: PoolCluster, copies: ConfigurationCopies) -> None:
            cluster.configure(more_queues=["added"])
            await asyncio.sleep(0.1)
            await copies.update()
            configuration = cluster.member("entry-2").vm.configuration
            self.assertEqual(configuration.version, cluster.version)
            self.assertEqual(configuration.document, cluster.store.item("op/config"))

        self.play(body)

    def test_the_same_version_is_not_fetched_and_confirms_the_age(self) -> None:
        async def body(cluster: PoolCluster, copies: ConfigurationCopies) -> None:
            configuration = cluster.member("entry-2").vm.configuration
            configuration._feed._current_as_of_s = configuration._read_s = -math.inf
            asked = self.answer(cluster, ConfigurationVersionAnswer(1, 0.7), None)
            await copies.update()
            self.assertEqual(asked, ["version"])
            self.assertAlmostEqual(configuration.age_s(), 0.7, delta=0.1)

        self.play(body)

    # What an older configuration is known of says nothing of a newer one.
    def test_an_older_version_confirms_nothing(self) -> None:
        async def body(cluster: PoolCluster, copies: ConfigurationCopies) -> None:
            configuration = cluster.member("entry-2").vm.configuration
            configuration._feed._current_as_of_s = configuration._read_s = -math.inf
            self.answer(cluster, ConfigurationVersionAnswer(0, 0.0), None)
            await copies.update()
            self.assertEqual(configuration.age_s(), math.inf)

        self.play(body)

    def test_copies_that_cannot_be_used_change_nothing(self) -> None:
        bomb = zlib.compress(bytes(MAX_DOCUMENT_BYTES + 1))
        for document in (b"", b"no deflate", zlib.compress(b"{")[:-3], zlib.compress(b"{"), bomb):

            async def body(
                cluster: PoolCluster, copies: ConfigurationCopies, document: bytes = document
            ) -> None:
                configuration = cluster.member("entry-2").vm.configuration
                copy = ConfigurationCopyAnswer(document, 99, 0.0)
                asked = self.answer(cluster, ConfigurationVersionAnswer(9, 0.0), copy)
                before = configuration.document
                await copies.update()
                self.assertEqual(asked, ["version", "copy"])
                self.assertEqual((configuration.version, configuration.document), (1, before))

            with self.subTest(document=document[:10]):
                self.play(body)

    def test_a_document_that_hardly_compresses_is_not_passed_on(self) -> None:
        async def body(cluster: PoolCluster, copies: ConfigurationCopies) -> None:
            large = random.Random(1).randbytes(MAX_COPY_BYTES + 1)
            configuration = cluster.member("entry-2").vm.configuration
            configuration.document = Item("op/config", large, 5)
            answer = await copies._answer_copy(ConfigurationCopyQuestion())
            self.assertEqual(answer.document, b"")

        self.play(body)

    def test_no_other_vm_answers(self) -> None:
        async def body(cluster: PoolCluster, copies: ConfigurationCopies) -> None:
            await cluster.kill("entry-1")
            await copies.update()
            self.assertEqual(cluster.member("entry-2").vm.configuration.version, 1)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
