"""Victims of urgent work that are about to end by themselves, and are stopped only if they do not.

A stop takes as long as such a run still needs, so that the room is free as soon without it, and the
work is not lost. The room is reserved like that of any preemption.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.victims import Members, ends_within

MAX_DEFERRAL_S = 1.0
"""A stop is put off for no longer than this, however long stops take: urgent work within a
guarantee has to start within 2.7 s."""


class DeferredStops:
    """The victims of each step whose stop is put off.

    :param members: returns the runs that stop together with a run.
    :param is_reachable: returns whether the worker of a run is reachable.
    """

    def __init__(self, members: Members, is_reachable: Callable[[Run], bool]) -> None:
        self._members = members
        self._is_reachable = is_reachable
        self._victims: dict[StepState, list[Run]] = {}
        self._spared = 0

    def next_due_s(self, now: float) -> float | None:
        """When the next stop is due; ``None`` if none was put off.

        Past times do not count: a victim whose worker may be out of reach cannot be stopped yet.
        """
        due = [run.ends_by_s for victims in self._victims.values() for run in victims]
        return min((each for each in due if each is not None and each > now), default=None)

    def defer(
        self, step: StepState, victims: Sequence[Run], stop_s: float, now: float
    ) -> list[Run]:
        """Put off the stops of runs that are about to end, and return the runs to stop now.

        A run is waited for once only, for whatever step.

        :param stop_s: seconds that a stop usually takes.
        """
        limit_s = min(stop_s, MAX_DEFERRAL_S)
        at_once: list[Run] = []
        for run in victims:
            if not self._may_defer(run, limit_s, now):
                at_once.append(run)
                continue
            if run.ends_by_s is None:
                run.ends_by_s = now + limit_s
            self._victims.setdefault(step, []).append(run)
        return at_once

    def take_due(self, step: StepState, now: float) -> list[Run]:
        """The victims of a step that should have ended by now, and have to be stopped."""
        held = self._victims.get(step, ())
        due = [run for run in held if _is_running(run) and _is_due(run, now)]
        if due:
            self._victims[step] = [run for run in held if run not in due]
        return due

    def release(self, step: StepState) -> None:
        """Spare the victims of a step that has started, waits no more or looks for other room."""
        self._spared += len(self._victims.pop(step, ()))

    def release_all_but(self, has_reservation: Callable[[StepState], bool]) -> None:
        """Spare the victims of steps that have no reservation any more."""
        for step in [step for step in self._victims if not has_reservation(step)]:
            self.release(step)

    def take_spared(self) -> int:
        """Number of runs that were not stopped after all, since the last call."""
        spared, self._spared = self._spared, 0
        return spared

    def _may_defer(self, run: Run, limit_s: float, now: float) -> bool:
        if run.stopping or not self._is_reachable(run):
            return False
        if run.ends_by_s is not None:
            return now < run.ends_by_s
        return ends_within(self._members(run), limit_s, now)


def _is_running(run: Run) -> bool:
    return run.task.run is run and not run.stopping


def _is_due(run: Run, now: float) -> bool:
    return run.ends_by_s is not None and now >= run.ends_by_s
