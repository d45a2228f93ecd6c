"""Checks that a VM that was suspended reports no job as open that has finished meanwhile."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from saddlestack.errors import SaddlestackError
from saddlestack.work import FINAL_STATES, JobState
from tests.simulation.deployment import Deployment, Vm, client_call

ASKED = 3
"""The most jobs queried after one suspension."""
OPEN = frozenset({JobState.QUEUED, JobState.RUNNING})


class ToldJudge:
    """Queries VMs that resume for jobs that the leader has published as finished meanwhile.

    :param accounts: the client account of each job.
    """

    def __init__(self, site: Deployment, accounts: Mapping[str, str]) -> None:
        self._site = site
        self._accounts = accounts
        self.asked = 0
        self.broken: list[str] = []

    def over(self) -> set[str]:
        """The jobs that the current leader publishes as finished."""
        leader = self._site.latest_leader
        scheduler = None if leader is None or leader.entry is None else leader.entry.scheduler
        if scheduler is None:
            return set()
        known = self._site.acknowledged
        return {job_id for job_id in known if scheduler.state(job_id) in FINAL_STATES}

    def ask(self, vm: Vm, before: set[str]) -> None:
        """Query a VM that resumes for jobs that finished while it was suspended.

        :param before: jobs that had finished before the suspension.
        """
        if self._site.vms.get(vm.name) is not vm:
            return
        for job_id in sorted(self.over() - before)[:ASKED]:
            self.asked += 1
            vm.loop.create_task(self._ask(vm, job_id))

    async def _ask(self, vm: Vm, job_id: str) -> None:
        if vm.entry is None:
            return
        call = replace(client_call("normal", self._accounts[job_id]), names_queue=False)
        try:
            state = await vm.entry.jobs.state(call, job_id)
        except SaddlestackError:
            return
        if state in OPEN:
            self.broken.append(f"told as {state}: [{job_id} ] by {vm.name} after a suspension")
