"""The state of a scenario, shared by its lines."""

from __future__ import annotations

import asyncio

from saddlestack.errors import invalid
from saddlestack.models import Account, Plan
from saddlestack.standins.cluster import Cluster
from saddlestack.standins.invariants import RequestRecord


class ScenarioFailed(Exception):
    """An expectation of a scenario does not hold."""


class ScenarioContext:
    """The cluster, requests and answers of one scenario.

    :ivar said: all answers to callers, in the order of their requests.
    :ivar accounts: client accounts by name.
    :ivar requests: tasks that submit a job, by job.
    :ivar answers: answers to callers, by job.
    :ivar plans: plans by their name in the scenario.
    :ivar confirms: outcomes of confirmations, by name of the plan.
    :ivar work: background tasks, cancelled at the end of the scenario.
    :ivar paused: name of the VM that was paused last.
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
        """The cluster of the scenario.

        :raises SaddlestackError: it has not started.
        """
        if self.started is None:
            raise invalid("the scenario has to `start` first")
        return self.started
