"""The state that the lines of a scenario work on."""

from __future__ import annotations

import asyncio

from saddlestack.errors import invalid
from saddlestack.models import Account, Plan
from saddlestack.standins.cluster import Cluster
from saddlestack.standins.invariants import RequestRecord


class ScenarioFailed(Exception):
    """An expectation of a scenario did not hold."""


class ScenarioContext:
    """The cluster of one scenario, and what was asked and answered so far.

    :param paused: the VM that was paused last.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.said: list[RequestRecord] = []
        self.accounts: dict[str, Account] = {}
        self.requests: dict[str, list[asyncio.Task[None]]] = {}
        self.answers: dict[str, list[RequestRecord]] = {}
        self.plans: dict[str, Plan] = {}
        self.confirms: dict[str, str] = {}
        self.work: list[asyncio.Task[None]] = []
        self.paused = ""
        self.started: Cluster | None = None

    @property
    def cluster(self) -> Cluster:
        """The cluster.

        :raises SaddlestackError: not started yet.
        """
        if self.started is None:
            raise invalid("the scenario has to `start` first")
        return self.started
