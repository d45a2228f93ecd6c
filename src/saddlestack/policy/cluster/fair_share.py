"""Fair share: the order of waiting steps of the same priority, by what their accounts hold.

The first to wait used to be the first to start, so one client account could fill the pool with a
burst of jobs. Urgent work has guarantees of its own and keeps its order.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState
from saddlestack.policy.cluster.slack import Slack

AGED_S = 8.0
"""A step that has waited for longer than this goes first, so that no account waits for ever."""
WORTHLESS_HELD_S = 15.0
"""A job past any value goes after the others for no longer than this: it has to end as well."""


class AccountUsage:
    """Accelerators that the runs of each client account hold, by priority."""

    def __init__(self) -> None:
        self._runs: set[Run] = set()
        self._held: Counter[tuple[int, str]] = Counter()

    def add(self, run: Run) -> None:
        """Count a run that was assigned. A run that is known already is not counted again."""
        if run not in self._runs:
            self._runs.add(run)
            self._held[_key(run.task.step)] += run.allocation.accelerators

    def remove(self, run: Run) -> None:
        """Stop counting a run that is over."""
        if run in self._runs:
            self._runs.remove(run)
            key = _key(run.task.step)
            self._held[key] -= run.allocation.accelerators
            if not self._held[key]:
                del self._held[key]

    def held(self, step: StepState) -> int:
        """Accelerators that the account of a step holds with work of the step's priority."""
        return self._held[_key(step)]


class FairShare:
    """Orders waiting steps.

    :param is_enabled: returns whether steps are ordered so.
    """

    def __init__(self, usage: AccountUsage, slack: Slack, is_enabled: Callable[[], bool]) -> None:
        self._usage = usage
        self._slack = slack
        self._is_enabled = is_enabled

    def in_order(self, steps: list[StepState], now: float) -> Iterable[StepState]:
        """Order steps that are in order of priority and, within it, of acceptance.

        The order depends on what starts meanwhile: it is determined step by step.
        """
        return self._in_order(steps, now) if self._is_enabled() else steps

    def _in_order(self, steps: list[StepState], now: float) -> Iterator[StepState]:
        for priority, group in groupby(steps, _priority):
            if priority == TOP_PRIORITY:
                yield from group
            else:
                yield from self._within_priority(group, now)

    def _within_priority(self, steps: Iterable[StepState], now: float) -> Iterator[StepState]:
        fresh: list[StepState] = []
        worthless: list[StepState] = []
        for step in steps:
            past_s = self._slack.worthless_for_s(step)
            if past_s is not None and past_s <= WORTHLESS_HELD_S:
                worthless.append(step)
            elif step.waited_s(now) > AGED_S:
                yield step
            else:
                fresh.append(step)
        yield from self._by_account(fresh)
        yield from worthless

    def _by_account(self, steps: Iterable[StepState]) -> Iterator[StepState]:
        """Yield, step by step, the first one of the account that holds the fewest accelerators."""
        by_account: dict[str, deque[tuple[int, StepState]]] = {}
        for number, step in enumerate(steps):
            account = step.occurrence.job.accepted.account
            by_account.setdefault(account, deque()).append((number, step))
        heads = [self._head(account, queue) for account, queue in by_account.items()]
        heapq.heapify(heads)
        while heads:
            account = heads[0][-1]
            queue = by_account[account]
            yield queue.popleft()[1]
            if queue:
                heapq.heapreplace(heads, self._head(account, queue))
            else:
                heapq.heappop(heads)

    def _head(self, account: str, queue: deque[tuple[int, StepState]]) -> tuple[int, int, str]:
        number, step = queue[0]
        return self._usage.held(step), number, account


def _priority(step: StepState) -> int:
    return step.occurrence.job.priority


def _key(step: StepState) -> tuple[int, str]:
    accepted = step.occurrence.job.accepted
    return accepted.priority, accepted.account
