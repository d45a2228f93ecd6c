"""What callers and operators see of tasks under which workers crash."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from saddlestack.cli.crashes import MAX_LOST_TASKS_SHOWN, describe, suspects
from saddlestack.cli.explain import causes
from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.main import main
from saddlestack.cli.missed_objectives import Cause, find_missed_objectives
from saddlestack.cli.stops import LOST_WITH_CRASHED_WORKER, stop_costs
from saddlestack.client import AsyncClient
from saddlestack.control.crashlog import MAX_SUSPECT_LINES, CrashLog
from saddlestack.models import JobState as CallerState
from saddlestack.policy.cluster.crash_findings import CrashFinding, CrashFindingKind
from saddlestack.policy.cluster.diagnosis import Diagnosis, DiagnosisContext
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.records import FailureCause
from saddlestack.services.metrics import Metrics
from saddlestack.standins.loop import VirtualClock
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.documents import KEY
from saddlestack.work import JobState, TaskName
from tests.test_cluster_state import record, step
from tests.test_crashes import SOON_S, CrashCase
from tests.test_pool import PoolTest

CULPRIT = "00000000000000aa"
OTHER = "00000000000000bb"
TASK = f"{CULPRIT}.0.0.0"
BESIDE = f"{OTHER}.0.0.0"


def line(at_s: float, event: str, **fields: Any) -> LogLine:
    return LogLine(event=event, at_s=at_s, time=f"{at_s:.1f}", **fields)


def accepted(job_id: str) -> LogLine:
    steps = ("1x1acc/1000cpu/1mb 1000ms",)
    return line(0.0, "accepted", job=job_id, stretch=1.5, target_ms=250.0, steps=steps)


LINES = [
    accepted(CULPRIT),
    accepted(OTHER),
    line(0.1, "start", task=TASK, run=1, worker="w1"),
    line(0.1, "start", task=BESIDE, run=1, worker="w1"),
    line(4.0, "run_over", task=TASK, run=1, worker="w1", proof="replaced"),
    line(4.0, "run_over", task=BESIDE, run=1, worker="w1", proof="replaced"),
    line(4.0, "crash_suspect", task=TASK, worker="w1", crashes=1, odds=0.5, beside=1),
    line(4.1, "start", task=TASK, run=2, worker="w2"),
    line(4.1, "start", task=BESIDE, run=2, worker="w3"),
    line(5.1, "ended", task=BESIDE, run=2, worker="w3", how="done"),
    line(5.1, "job", job=OTHER, state="completed"),
    line(8.0, "run_over", task=TASK, run=2, worker="w2", proof="replaced"),
    line(8.0, "crash_given_up", task=TASK, worker="w2", crashes=2, odds=5000.0, beside=0),
    line(8.0, "job", job=CULPRIT, state="failed"),
]


class LogsTest(unittest.TestCase):
    def test_explain_lists_each_crash_with_worker_time_and_lost_runs(self) -> None:
        own = [each for each in LINES if CULPRIT in (each.job, each.task.partition(".")[0])]
        reported = causes(CULPRIT, own, LINES)
        (first,) = [each for each in reported if "suspect" in each]
        self.assertIn("at 4.0: w1 crashed", first)
        self.assertIn(f"beside it died {BESIDE}", first)
        (last,) = [each for each in reported if "given up" in each]
        self.assertIn("2 workers crashed under it", last)
        self.assertIn("nothing died beside it", last)

    def test_explain_does_not_call_a_silent_worker_crashed(self) -> None:
        silent = line(4.0, "crash_suspect", task=TASK, worker="w1", crashes=3, unheard=True)
        self.assertIn("w1 stopped answering", describe(silent, LINES))

    def test_only_some_of_many_lost_runs_are_named(self) -> None:
        lost = [
            line(4.0, "run_over", task=f"{OTHER}.0.0.{index}", worker="w1")
            for index in range(MAX_LOST_TASKS_SHOWN + 3)
        ]
        reported = describe(LINES[6], lost)
        self.assertEqual(reported.count(OTHER), MAX_LOST_TASKS_SHOWN)
        self.assertIn("and 3 more", reported)

    def test_why_names_the_task_that_was_given_up_as_the_cause(self) -> None:
        found = {loss.job_id: loss.cause for loss in find_missed_objectives(LINES)}
        self.assertEqual(found, {CULPRIT: Cause.GIVEN_UP, OTHER: Cause.CRASHED_WORKER})

    def test_stops_count_runs_lost_beside_a_crash_as_a_separate_cause(self) -> None:
        cost = stop_costs(LINES).reasons[LOST_WITH_CRASHED_WORKER]
        self.assertEqual(cost.runs, 1)
        self.assertAlmostEqual(cost.lost_core_s, 3.9 * 9)

    def test_a_crash_under_a_cleared_task_is_no_such_cause(self) -> None:
        cleared = [each for each in LINES if each.event != "crash_given_up"]
        self.assertNotIn(LOST_WITH_CRASHED_WORKER, stop_costs(cleared).reasons)

    def test_suspects_are_listed(self) -> None:
        (found,) = suspects(LINES).values()
        self.assertEqual((found.task, found.state, len(found.lines)), (TASK, "given_up", 2))
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "all.log"
            rows = [
                {"time": "1", "vm": "one", "event": "crash_suspect", "task": TASK, "worker": "w"}
            ]
            file.write_text("\n".join(json.dumps(row) for row in rows))
            self.assertEqual(len(read([file])), 1)
            shown = CliRunner().invoke(main, ["suspects", str(file)])
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertIn(TASK, shown.output)


class CrashLogTest(unittest.TestCase):
    def test_lines_about_suspects_are_limited_and_given_up_tasks_all_logged(self) -> None:
        many = MAX_SUSPECT_LINES + 5
        findings = [
            CrashFinding(CrashFindingKind.SUSPECT, TaskName(OTHER, 0, 0, index))
            for index in range(many)
        ]
        findings += [CrashFinding(CrashFindingKind.GIVEN_UP, TaskName(CULPRIT, 0, 0, 0))]
        metrics = Metrics("vm", VirtualClock())
        with self.assertLogs("saddlestack.crashes", "INFO") as logged:
            CrashLog(metrics).log_findings(findings)
        events = [getattr(each, "event", "") for each in logged.records]
        self.assertEqual(events.count("crash_suspect"), MAX_SUSPECT_LINES)
        self.assertEqual(events.count("crash_given_up"), 1)
        self.assertEqual(events.count("crash_left_out"), 1)
        self.assertEqual(metrics.view().counters["crash_suspect"], many)


class EvidenceTest(CrashCase):
    def test_a_crash_that_makes_no_suspect_is_reported_and_so_is_its_reversal(self) -> None:
        self.workers(racks=1, each=2)
        job_id = self.add(step(1, 1))
        self.plan(0.0)
        worker_id = self.run_of(job_id).worker_id
        self.cluster_state.unlist_worker(worker_id)
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(0.0, 9.0, unheard=True))
        (counted,) = self.cluster_state.take_changes().findings
        self.assertIs(counted.kind, CrashFindingKind.COUNTED)
        self.assertEqual((counted.worker_id, counted.crashes), (worker_id, 1))
        self.assertTrue(counted.unheard)
        back = self.cluster_state.set_worker(record(worker_id), 12.0)
        self.cluster_state.record_answer(back, 12.0)
        kinds = [each.kind for each in self.cluster_state.take_changes().findings]
        self.assertIn(CrashFindingKind.REVERTED, kinds)


class ClearTest(CrashCase):
    def test_a_job_that_is_cleared_starts_beside_others_and_its_starts_still_count(self) -> None:
        self.workers(racks=1, each=2)
        job_id = self.add(step(1, 1))
        self.plan(0.0)
        self.crash_under(job_id, 0.0)
        crashes = self.cluster_state._crashes
        self.assertTrue(crashes.is_suspect(self.task(job_id)))
        self.assertEqual(self.cluster_state.clear_suspects(job_id), 1)
        self.assertFalse(crashes.is_suspect(self.task(job_id)))
        known = self.known(job_id)
        assert known is not None
        self.assertEqual(known.crashes, 1)
        self.assertEqual(self.cluster_state.clear_suspects("no such job"), 0)
        self.assertGreater(SOON_S, 0.0)


class ReportedFailureTest(PoolTest):
    def test_callers_get_the_reason_why_a_job_failed(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(CULPRIT, job(1, accelerators=8, crashes_s=0.01))
            await cluster.until_state(CULPRIT, JobState.FAILED)
            leader = cluster.leader
            assert leader is not None
            assert leader.scheduler is not None
            reported = leader.scheduler.waits.of(CULPRIT) or ""
            self.assertIn(FailureCause.CRASHES.sentence, reported)
            name = cluster.leader_name
            await cluster.kill(name)
            await cluster.until(lambda: cluster.leader is not None)
            leader = cluster.leader
            assert leader is not None
            assert leader.scheduler is not None
            self.assertEqual(leader.scheduler.waits.of(CULPRIT), reported)

        self.play(body, racks=2, workers=4)

    def test_operators_clear_a_job_through_the_interface(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            vm = next(iter(cluster.members.values())).vm
            client = AsyncClient([("127.0.0.1", vm.callers.port)], token=KEY)
            try:
                await client.submit("sound", 1, estimate=1.0)
                self.assertIs((await client.clear("sound")).state, CallerState.QUEUED)
            finally:
                client.close()

        self.play(body)


class IsolationReasonTest(CrashCase):
    def test_a_suspect_that_waits_for_an_empty_worker_is_reported(self) -> None:
        self.workers(racks=1, each=1)
        first = self.add(step(1, 4))
        second = self.add(step(1, 4))
        self.plan(0.0)
        self.crash_under(first, 0.0)
        self.plan(SOON_S)
        waiting = next(each for each in (first, second) if self.task(each).run is None)
        around = DiagnosisContext(SOON_S, 0.0, SOON_S, False, False, lambda _: False, lambda _: 0.0)
        waits = Diagnosis(self.cluster_state).scan(around).waits
        found = {wait.job_id: wait.reason for wait in waits}
        self.assertIs(found[waiting], WaitReason.ISOLATION)
