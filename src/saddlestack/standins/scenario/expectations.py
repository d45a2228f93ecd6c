"""Expectations of scenarios: job states, starts, owners, revisions, audit records, store calls.

The docstring of each expectation is its syntax.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saddlestack.errors import ErrorKind, invalid
from saddlestack.models import JobState
from saddlestack.standins.cluster import OPERATOR
from saddlestack.standins.invariants import ExecutionHistory, RequestRecord
from saddlestack.standins.scenario.context import ScenarioContext, ScenarioFailed
from saddlestack.standins.scenario.lines import Line

DEFAULT_WITHIN_S = 30.0
POLL_S = 0.02

Expectation = Callable[[ScenarioContext, Line], Awaitable[None]]
"""Checks one expectation; raises :class:`ScenarioFailed` if it does not hold."""


async def expect_state(context: ScenarioContext, line: Line) -> None:
    """expect done|unknown|cancelled|not_run JOB|all [within=30]"""
    state = JobState(line.words[0])
    within = line.number_of("within", DEFAULT_WITHIN_S)
    for said in await _wait_for_answers(context, line, within):
        got = said.refused or (said.view.state.value if said.view else "no answer")
        if got != state.value:
            raise ScenarioFailed(f"{said.job} is {got}, expected {state.value}")


async def expect_answered(context: ScenarioContext, line: Line) -> None:
    """expect answered JOB|all [within=30]: done, refused or given up"""
    await _wait_for_answers(context, line, line.number_of("within", DEFAULT_WITHIN_S))


async def expect_refused(context: ScenarioContext, line: Line) -> None:
    """expect refused JOB|all kind=KIND [within=30]"""
    kind = ErrorKind(line.options.get("kind", ErrorKind.STORE_UNAVAILABLE))
    for said in await _wait_for_answers(context, line, line.number_of("within", DEFAULT_WITHIN_S)):
        if said.refused != kind.value:
            got = said.refused or (said.view and said.view.state)
            raise ScenarioFailed(f"{said.job} is {got}, expected refused as {kind}")


async def _wait_for_answers(
    context: ScenarioContext, line: Line, within: float
) -> list[RequestRecord]:
    which = line.word(1, "a job")
    if which != "all" and which not in context.requests:
        raise invalid(f"{which} was not submitted")
    jobs = list(context.requests) if which == "all" else [which]
    tasks = [task for job in jobs for task in context.requests[job]]
    _, late = await asyncio.wait(tasks, timeout=within)
    if late:
        raise ScenarioFailed(f"{len(late)} of {len(tasks)} not answered after {within:g} s")
    return [said for job in jobs for said in context.answers[job]]


async def expect_started(context: ScenarioContext, line: Line) -> None:
    """expect started JOB [within=8.5]: a part of it runs on an endpoint"""
    job = line.word(1, "a job")
    within = line.number_of("within", 8.5)
    await _wait_until(
        lambda: ExecutionHistory(context.cluster.endpoints).started(job),
        within,
        f"{job} did not start",
    )


async def expect_starts(context: ScenarioContext, line: Line) -> None:
    """expect starts JOB COUNT: fresh starts so far"""
    job = line.word(1, "a job")
    count = ExecutionHistory(context.cluster.endpoints).starts(job)
    if count != int(line.word(2, "a count")):
        raise ScenarioFailed(f"{job} started {count} times")


async def expect_owner(context: ScenarioContext, line: Line) -> None:
    """expect owner CELL [within=5]: the cell has a scheduler"""
    cell = line.word(1, "a cell")
    within = line.number_of("within", 5.0)
    await _wait_until(
        lambda: context.cluster.owner(cell) is not None, within, f"{cell} has no scheduler"
    )


async def expect_revision(context: ScenarioContext, line: Line) -> None:
    """expect revision N [within=5]: in force on every live VM"""
    revision = int(line.word(1, "a revision"))

    def is_in_force() -> bool:
        documents = [e.daemon.configuration.document for e in context.cluster.live()]
        return all(document.revision == revision for document in documents)

    await _wait_until(
        is_in_force,
        line.number_of("within", 5.0),
        f"revision {revision} is not in force everywhere",
    )


async def expect_confirmed(context: ScenarioContext, line: Line) -> None:
    """expect confirmed NAME OUTCOME"""
    name, outcome = line.word(1, "a plan"), line.word(2, "an outcome")
    if context.confirms.get(name) != outcome:
        raise ScenarioFailed(f"plan {name} was {context.confirms.get(name)}, not {outcome}")


async def expect_audited(context: ScenarioContext, line: Line) -> None:
    """expect audited NAME OUTCOME [by=liis]: the audit trail has the outcome of the plan"""
    plan = context.plans[line.word(1, "a plan")]
    outcome, who = line.word(2, "an outcome"), line.options.get("by", OPERATOR)
    for _ in range(100):
        records = await context.cluster.operator().audit(limit=200)
        if any((r.plan, r.outcome, r.who) == (plan.plan, outcome, who) for r in records):
            return
        await asyncio.sleep(0.1)
    raise ScenarioFailed(f"the audit trail lacks {outcome} of {line.words[1]} by {who}")


async def expect_formable(context: ScenarioContext, line: Line) -> None:
    """expect formable ACCOUNT [within=5]"""
    name = line.word(1, "an account")

    def is_formable() -> bool:
        schedulers = [s for e in context.cluster.live() for s in e.daemon.ownership.schedulers]
        found = [g for s in schedulers for g in s.status().guarantees if g.account == name]
        return bool(found) and all(g.formable for g in found)

    await _wait_until(
        is_formable, line.number_of("within", 5.0), f"the guarantees of {name} are not formable"
    )


async def expect_store(context: ScenarioContext, line: Line) -> None:
    """expect store writes_per_job=X | limited=N: limits of the calls to the store"""
    counters = context.cluster.store.counters
    if counters.limited > line.number_of("limited", 0):
        raise ScenarioFailed(f"{counters.limited} calls exceeded the store's rate limit")
    most = line.number_of("writes_per_job", float("inf"))
    jobs = max(len(context.requests), 1)
    if counters.writes / jobs > most:
        raise ScenarioFailed(f"{counters.writes} writes for {jobs} jobs")


async def expect_urgent(context: ScenarioContext, line: Line) -> None:
    """expect urgent p99=8.5: p99 of the start delay of all jobs that were answered"""
    delays = sorted(
        said.view.started - said.view.submitted
        for said in context.said
        if said.view is not None and said.view.started is not None
    )
    if not delays:
        raise ScenarioFailed("nothing has started")
    p99 = delays[min(len(delays) - 1, int(len(delays) * 0.99))]
    if p99 > line.number_of("p99", 8.5):
        raise ScenarioFailed(f"p99 of the start delay is {p99:.1f} s")


async def _wait_until(check: Callable[[], bool], within: float, problem: str) -> None:
    until = asyncio.get_running_loop().time() + within
    while not check():
        if asyncio.get_running_loop().time() >= until:
            raise ScenarioFailed(f"{problem} after {within:g} s")
        await asyncio.sleep(POLL_S)


EXPECTATIONS: dict[str, Expectation] = {
    "done": expect_state,
    "unknown": expect_state,
    "cancelled": expect_state,
    "not_run": expect_state,
    "queued": expect_state,
    "running": expect_state,
    "answered": expect_answered,
    "refused": expect_refused,
    "started": expect_started,
    "starts": expect_starts,
    "owner": expect_owner,
    "revision": expect_revision,
    "confirmed": expect_confirmed,
    "audited": expect_audited,
    "formable": expect_formable,
    "store": expect_store,
    "urgent": expect_urgent,
}
