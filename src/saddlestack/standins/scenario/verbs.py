"""The verbs of scenarios: setup, callers, operators, and faults.

The docstring of each verb is its syntax.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saddlestack.client import AsyncClient
from saddlestack.errors import SaddlestackError, invalid
from saddlestack.models import Account, DataHall, Intent, JobClass
from saddlestack.shapes import parse_guarantee
from saddlestack.standins.cluster import (
    OPERATOR,
    OPERATOR_TOKEN,
    SECOND_OPERATOR,
    SECOND_TOKEN,
    Cluster,
    racks,
    token_of,
)
from saddlestack.standins.cluster import account as account_named
from saddlestack.standins.invariants import RequestRecord
from saddlestack.standins.scenario.context import ScenarioContext, ScenarioFailed
from saddlestack.standins.scenario.expectations import EXPECTATIONS
from saddlestack.standins.scenario.lines import Line, number

DEFAULT_WAIT_S = 300.0
OPERATORS = {OPERATOR: OPERATOR_TOKEN, SECOND_OPERATOR: SECOND_TOKEN}

Verb = Callable[[ScenarioContext, Line], Awaitable[None] | None]
"""Runs one line of a scenario; what it returns is awaited unless it is ``None``."""


async def start(context: ScenarioContext, line: Line) -> None:
    """start HALL... [entries=2] [workers=8] [racks=1] [lag=1]"""
    names = line.words or ("ulemiste",)
    workers = int(line.number_of("workers", 8))
    count = int(line.number_of("racks", 1))
    halls = tuple(
        DataHall(name=name, racks=racks(name[:2] + name[-1], count, workers)) for name in names
    )
    context.started = Cluster(
        halls,
        entries=int(line.number_of("entries", 2)),
        seed=context.seed,
        lag_s=line.number_of("lag", 1.0),
    )
    await context.cluster.start()


def account(context: ScenarioContext, line: Line) -> None:
    """account NAME [SHAPE...]"""
    name = line.word(0, "a name")
    context.accounts[name] = account_named(name, *line.words[1:])


async def configure(context: ScenarioContext, line: Line) -> None:
    """configure: plan and confirm the data halls and client accounts"""
    await context.cluster.configure(tuple(context.accounts.values()))


async def submit(context: ScenarioContext, line: Line) -> None:
    """submit ACCOUNT REQUEST ACCELERATORS [class=] [seconds=] [via=] [wait=] [run_once]"""
    account_, request = line.word(0, "an account"), line.word(1, "a request")
    accelerators = int(number(line.word(2, "accelerators"), "accelerators"))
    _start_request(context, line, account_, request, accelerators)
    await asyncio.sleep(0)


async def burst(context: ScenarioContext, line: Line) -> None:
    """burst ACCOUNT PREFIX COUNT [accelerators=1] [over=0] and the options of submit"""
    account_, prefix = line.word(0, "an account"), line.word(1, "a prefix")
    count = int(number(line.word(2, "a count"), "count"))
    pause = line.number_of("over", 0.0) / max(count, 1)
    accelerators = int(line.number_of("accelerators", 1))
    for each in range(1, count + 1):
        _start_request(context, line, account_, f"{prefix}-{each:04d}", accelerators)
        if pause:
            await asyncio.sleep(pause)


def _start_request(
    context: ScenarioContext, line: Line, account_: str, request: str, accelerators: int
) -> None:
    said = RequestRecord(f"{account_}/{request}")
    context.said.append(said)
    context.answers.setdefault(said.job, []).append(said)
    task = asyncio.get_running_loop().create_task(
        _request(context, line, said, account_, request, accelerators)
    )
    context.requests.setdefault(said.job, []).append(task)
    context.work.append(task)


async def _request(
    context: ScenarioContext,
    line: Line,
    said: RequestRecord,
    account_: str,
    request: str,
    accelerators: int,
) -> None:
    via = line.options.get("via")
    where: dict[str, str] = {}
    if via is not None:
        where = {"vm": via} if via in context.cluster.entries else {"hall": via}
    client = context.cluster.client(token_of(account_), **where)
    seconds = line.number_of("seconds", 1.0)
    try:
        said.view = await client.submit(
            request,
            accelerators,
            job_class=JobClass(line.options.get("class", "normal")),
            adjacent=line.options.get("adjacent"),
            run_once=line.flag("run_once"),
            checkpoint=line.flag("checkpoint"),
            estimate=line.number_of("estimate", max(seconds, 0.1)),
            deadline=line.number_of("deadline", 0.0) or None,
            payload=f'{{"seconds": {seconds}}}',
            wait=line.number_of("wait", DEFAULT_WAIT_S),
        )
    except SaddlestackError as error:
        said.refused = error.kind.value
    finally:
        client.close()


async def cancel(context: ScenarioContext, line: Line) -> None:
    """cancel ACCOUNT REQUEST"""
    account_, request = line.word(0, "an account"), line.word(1, "a request")
    await context.cluster.client(token_of(account_)).cancel(request)


async def plan(context: ScenarioContext, line: Line) -> None:
    """plan NAME ACCOUNT SHAPE... [by=liis] [at=VM]"""
    name, account_ = line.word(0, "a name"), line.word(1, "an account")
    made = Account(
        name=account_,
        guarantees=tuple(parse_guarantee(text) for text in line.words[2:]),
        tokens=account_named(account_).tokens,
    )
    client = _operator(context, line)
    context.plans[name] = await client.plan(Intent(accounts=(made,)))


async def confirm(context: ScenarioContext, line: Line) -> None:
    """confirm NAME [by=liis] [at=VM] [wait=0]: confirm a plan and record the outcome"""
    name = line.word(0, "the name of a plan")
    client = _operator(context, line)
    try:
        made = await client.confirm(context.plans[name], wait=line.number_of("wait", 0.0))
        context.confirms[name] = "accepted"
        if line.number_of("wait", 0.0) and made.behind:
            raise ScenarioFailed(f"not in force on {', '.join(made.behind)}")
    except SaddlestackError as error:
        context.confirms[name] = error.kind.value


def _operator(context: ScenarioContext, line: Line) -> AsyncClient:
    token = OPERATORS[line.options.get("by", OPERATOR)]
    where = {"vm": line.options["at"]} if "at" in line.options else {}
    return context.cluster.client(token, **where)


async def kill(context: ScenarioContext, line: Line) -> None:
    """kill VM | kill owner CELL"""
    await context.cluster.kill(_vm(context, line))


def pause(context: ScenarioContext, line: Line) -> None:
    """pause VM | pause owner CELL"""
    name = _vm(context, line)
    context.paused = name
    context.cluster.freeze(name)


def resume(context: ScenarioContext, line: Line) -> None:
    """resume [VM]: by default the VM that was paused last"""
    context.cluster.thaw(line.words[0] if line.words else context.paused)


async def drain(context: ScenarioContext, line: Line) -> None:
    """drain VM | drain owner CELL [background]"""
    name = _vm(context, line)
    work = asyncio.get_running_loop().create_task(context.cluster.drain(name))
    if line.flag("background"):
        context.work.append(work)
    else:
        await work


async def restart(context: ScenarioContext, line: Line) -> None:
    """restart VM: start the daemon of a killed or drained VM again, under the same name"""
    await context.cluster.restart(line.word(0, "a VM"))


def cut(context: ScenarioContext, line: Line) -> None:
    """cut PLACE PLACE: partition two data halls, or a data hall and `platform`"""
    context.cluster.network.cut(line.word(0, "a place"), line.word(1, "another place"))


def heal(context: ScenarioContext, line: Line) -> None:
    """heal: end all partitions"""
    context.cluster.network.heal()


def store(context: ScenarioContext, line: Line) -> None:
    """store up | down | slow S | lose_answers N | lose_writes N"""
    what = line.word(0, "a fault")
    faults = context.cluster.store.faults
    if what in {"up", "down"}:
        faults.down = what == "down"
        faults.slow_s = 0.0
    elif what == "slow":
        faults.slow_s = number(line.word(1, "seconds"), "seconds")
    elif what in {"lose_answers", "lose_writes"}:
        setattr(faults, what, int(number(line.word(1, "a count"), "count")))
    else:
        raise invalid(f"unknown store fault {what!r}")


def vms(context: ScenarioContext, line: Line) -> None:
    """vms up | down"""
    context.cluster.vms.down = line.word(0, "up or down") == "down"


async def endpoint(context: ScenarioContext, line: Line) -> None:
    """endpoint NAME lose | restart | leave | delay S | truncate N | cross N | lose_answers N"""
    endpoint = context.cluster.endpoints.get(line.word(0, "a name"))
    if endpoint is None:
        raise invalid(f"unknown endpoint {line.words[0]}")
    what = line.word(1, "what happens")
    if what == "lose":
        endpoint.lose()
    elif what == "restart":
        await context.cluster.restart_endpoint(line.words[0])
    elif what == "leave":
        await endpoint.leave()
    elif what == "delay":
        endpoint.faults.delay_s = number(line.word(2, "seconds"), "seconds")
    elif what in {"truncate", "cross", "lose_answers"}:
        setattr(endpoint.faults, what, int(number(line.word(2, "a count"), "count")))
    else:
        raise invalid(f"unknown endpoint fault {what!r}")


def trap(context: ScenarioContext, line: Line) -> None:
    """trap prepare|start|done|KEY JOB kill|pause CELL: kill or pause its scheduler at that event"""
    event, job = line.word(0, "an event"), line.word(1, "a job")
    action, cell = line.word(2, "kill or pause"), line.word(3, "a cell")

    def on_event(seen: str, seen_job: str) -> None:
        if seen == event and job in {seen_job, "any"}:
            _disarm(context)
            _kill_or_pause(context, action, cell)

    for endpoint in context.cluster.endpoints.values():
        endpoint.on_event = on_event
    context.cluster.store.on_write = lambda key: on_event(key.partition("/")[0], "any")


def _disarm(context: ScenarioContext) -> None:
    for endpoint in context.cluster.endpoints.values():
        endpoint.on_event = None
    context.cluster.store.on_write = None


def _kill_or_pause(context: ScenarioContext, action: str, cell: str) -> None:
    owner = context.cluster.owner(cell)
    if owner is None:
        return
    context.paused = owner.name
    if action == "pause":
        context.cluster.freeze(owner.name)
        return
    owner.process.kill()
    owner.alive = False
    context.work.append(asyncio.get_running_loop().create_task(context.cluster.kill(owner.name)))


def _vm(context: ScenarioContext, line: Line) -> str:
    name = line.word(0, "a VM")
    if name != "owner":
        if name not in context.cluster.entries:
            raise invalid(f"unknown entry VM {name}")
        return name
    owner = context.cluster.owner(line.word(1, "a cell"))
    if owner is None:
        raise ScenarioFailed(f"cell {line.words[1]} has no scheduler")
    return owner.name


async def wait(context: ScenarioContext, line: Line) -> None:
    """wait SECONDS"""
    await asyncio.sleep(number(line.word(0, "seconds"), "seconds"))


async def expect(context: ScenarioContext, line: Line) -> None:
    """expect WHAT ...: see docs/scenarios.md"""
    what = line.word(0, "what")
    check = EXPECTATIONS.get(what)
    if check is None:
        raise invalid(
            f"unknown expectation {what!r}; known expectations: {', '.join(EXPECTATIONS)}"
        )
    await check(context, line)


VERBS: dict[str, Verb] = {
    "start": start,
    "account": account,
    "configure": configure,
    "submit": submit,
    "burst": burst,
    "cancel": cancel,
    "plan": plan,
    "confirm": confirm,
    "kill": kill,
    "pause": pause,
    "resume": resume,
    "drain": drain,
    "restart": restart,
    "cut": cut,
    "heal": heal,
    "store": store,
    "vms": vms,
    "endpoint": endpoint,
    "trap": trap,
    "wait": wait,
    "expect": expect,
}
