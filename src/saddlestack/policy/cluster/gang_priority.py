"""Decisions in favor of normal gangs, which wait for many workers at once.

Narrow work of lower priority takes each gap as it appears, so that a gang may never find all of its
workers free together. All decisions here are limited to gangs of normal priority whose slack is
known; where the option is off, none is made.
"""

from __future__ import annotations

from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.slack import Slack

NORMAL_PRIORITY = 1
"""The priority between urgent and bulk."""
MIN_HEADROOM_SLACK_S = 2.0
"""Below this slack the headroom opens to a normal gang, even if its work takes less time."""


class GangPriority:
    """Decides what is done for waiting gangs.

    :param enabled: whether the option is on.
    """

    def __init__(self, slack: Slack, *, enabled: bool) -> None:
        self._slack = slack
        self._enabled = enabled

    def opens_headroom(self, step: StepState) -> bool:
        """Whether the headroom is open to a step because little of its slack is left.

        Only for gangs that may be stopped again, so that urgent work gets the workers back.
        """
        if not self._is_favored(step) or step.step.once:
            return False
        slack_s, work_s = self._slack.slack_s(step), self._slack.work_s(step)
        if slack_s is None or work_s is None or self._slack.worthless_for_s(step) is not None:
            return False
        return slack_s < max(work_s, MIN_HEADROOM_SLACK_S)

    def shape(self, step: StepState, shape: int | None) -> int | None:
        """The number by which steps are equal if slack counts as well as their shape.

        :param shape: the number of the step's shape.
        """
        if not self._enabled or shape is None:
            return shape
        return 2 * shape + self.opens_headroom(step)

    def _is_favored(self, step: StepState) -> bool:
        """Whether a step is a gang of normal priority."""
        is_normal = step.occurrence.job.priority == NORMAL_PRIORITY
        return self._enabled and step.step.gang and is_normal and not step.step.long_running
