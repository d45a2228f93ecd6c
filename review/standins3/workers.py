"""Workers, the machines that they run on, and the service for whole machines.

Orders, leases, fencing tokens and gangs follow PROTOCOL.md, "Running tasks" and "Machines". What a
task does stands in the job's ``spec``: ``{"ms": 800, "gpu": 1}``, ``"gang": N`` for the size of its
gang, or ``"lasts": true`` instead of the time.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from .http import Answer, Request, Server, Silence
from .record import Record
from .store import Store

HEARTBEAT_S = 1.5
MAINTENANCE_S = 2.0
GANG_TIMEOUT_S = 3.0
TICK_S = 0.02
SHORT_START_S = 0.2
GPUS = 8
BEATS_OF_SILENCE = 3
"""A worker's entry is removed after this many heartbeats without one."""


@dataclass
class Run:
    """One run on a worker."""

    task: str
    number: int
    spec: dict[str, object]
    began_s: float
    works_since_s: float | None = None

    @property
    def gang(self) -> str:
        """Name of the run's gang: the step and the run's number."""
        return f"{self.task.rpartition('.')[0]}#{self.number}"

    @property
    def lasts(self) -> bool:
        """Whether it runs until it is stopped."""
        return bool(self.spec.get("lasts"))

    @property
    def gpus(self) -> int:
        """Accelerators that it holds."""
        return int(str(self.spec.get("gpu", 0)))

    @property
    def length_s(self) -> float:
        """Seconds of work."""
        return float(str(self.spec.get("ms", 1000))) / 1000

    def is_done(self, now: float) -> bool:
        """Whether it has done its work."""
        since_s = self.works_since_s
        return since_s is not None and not self.lasts and now - since_s >= self.length_s

    def percent(self, now: float) -> int:
        """Progress in percent."""
        if self.works_since_s is None:
            return 0
        if self.lasts:
            return 100 if now - self.works_since_s >= SHORT_START_S else 0
        return min(99, int(100 * (now - self.works_since_s) / self.length_s))


@dataclass
class Life:
    """One life of a worker.

    :ivar lease_until_ms: when everything is killed, on the worker's clock.
    """

    worker: str
    fence: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list[object]] = field(default_factory=list)
    ends: int = 0
    over: dict[str, int] = field(default_factory=dict)
    lease_until_ms: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    draining: bool = False
    remaining_s: float = 0.0

    def end(self, run: Run, how: str) -> None:
        """End a run, and list its end."""
        del self.runs[run.task, run.number]
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Machine:
    """A machine, and the worker that lives on it.

    :ivar life: the present life; ``None`` while the machine is down or taken away.
    :ivar has_entry: whether the worker writes its entry in the store.
    :ivar is_unhealthy: whether it answers every order with 503, and does nothing.
    """

    def __init__(self, name: str, address: str, hall: str, rack: str, pool: Pool) -> None:
        self.name = name
        self.address = address
        self.hall = hall
        self.rack = rack
        self.port = 0
        self.life: Life | None = None
        self.state = "down"
        self.is_unhealthy = False
        self.has_entry = True
        self._pool = pool
        self._lives = 0
        self._seq = 0
        self._server = Server(self._handle)

    async def start(self) -> None:
        """Start the first life."""
        self.port = await self._server.start(self.address, 0)
        self.begin_life()

    def begin_life(self) -> None:
        """Start a new life under a new id."""
        self._lives += 1
        self.life = Life(f"i-{self.name}-{self._lives}")
        self.state = "up"
        self.has_entry = True
        self._pool.record.note("worker", "begins", machine=self.name, worker=self.life.worker)
        self.write_record()

    def end_life(self, state: str) -> None:
        """End the present life with all that runs there."""
        if self.life is not None:
            self._pool.store.delete(f"servers/{self.life.worker}")
            for run in self.life.runs.values():
                self._pool.record.note("run", "dies", task=run.task, run=run.number)
            self._pool.record.note("worker", "ends", machine=self.name, worker=self.life.worker)
        self.life = None
        self.state = state
        self._server.reset_connections()

    def crash(self) -> None:
        """End the present life without a word; its entry stays until its silence is noticed."""
        life = self.life
        if life is None:
            return
        for run in life.runs.values():
            self._pool.record.note("run", "dies", task=run.task, run=run.number, machine=self.name)
        self._pool.record.note("worker", "crashes", machine=self.name, worker=life.worker)
        self.life = None
        self.state = "down"
        self._server.stop()
        key = f"servers/{life.worker}"
        loop = asyncio.get_running_loop()
        loop.call_later(BEATS_OF_SILENCE * HEARTBEAT_S, self._pool.store.delete, key)

    async def leave(self, serves_s: float) -> None:
        """End as planned without a notice: the entry goes, and the worker serves on for a while."""
        life = self.life
        if life is None:
            return
        self._pool.record.note("worker", "leaves", machine=self.name, worker=life.worker)
        self.has_entry = False
        self._pool.store.delete(f"servers/{life.worker}")
        await asyncio.sleep(serves_s)
        for run in life.runs.values():
            self._pool.record.note("run", "dies", task=run.task, run=run.number, machine=self.name)
        self._pool.record.note("worker", "has left", machine=self.name, worker=life.worker)
        self.life = None
        self.state = "down"
        self._server.stop()

    async def restart(self) -> None:
        """Start a new life at the same address."""
        await self._server.start(self.address, self.port)
        self.begin_life()

    def fail(self, run: Run) -> None:
        """Let a task fail by its own fault."""
        assert self.life is not None
        self._end(self.life, run, "failed")

    def drain(self, remaining_s: float) -> None:
        """State that the worker is about to leave."""
        assert self.life is not None
        self.life.draining = True
        self.life.remaining_s = remaining_s
        self._pool.record.note("worker", "drains", machine=self.name, worker=self.life.worker)
        self.write_record()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def write_record(self) -> None:
        """Write the worker's entry in the store."""
        life = self.life
        if life is None or not self.has_entry:
            return
        self._seq += 1
        entry: dict[str, object] = {
            "service": self._pool.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.hall,
            "version": "v1",
            "slots": 8,
            "state": "draining" if life.draining else "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": GPUS},
            "labels": ["a", self.rack],
            "clock-ms": self._clock_ms(),
            "machine": self.name,
            "seq": self._seq,
        }
        if life.draining:
            entry["remaining-ms"] = round(1000 * life.remaining_s)
        self._pool.store.put(f"servers/{life.worker}", entry)

    def tick(self) -> None:
        """End runs that are done, that wait for their gang too long, or whose lease is over."""
        life, now = self.life, _now()
        if life is None:
            return
        for run in list(life.runs.values()):
            if (run.task, run.number) not in life.runs:
                continue  # It has ended with another member of its gang.
            if run.works_since_s is None:
                if self._pool.is_gang_present(run):
                    run.works_since_s = now
                elif now - run.began_s > GANG_TIMEOUT_S:
                    self._end(life, run, "alone")
            elif run.is_done(now):
                self._end(life, run, "done")
        if life.runs and self._clock_ms() >= life.lease_until_ms:
            while life.runs:
                self._end(life, next(iter(life.runs.values())), "lapsed")

    def _end(self, life: Life, run: Run, how: str) -> None:
        life.end(run, how)
        self._pool.record.note(
            "run", how, task=run.task, run=run.number, worker=life.worker, machine=self.name
        )
        if run.spec.get("gang"):
            self._pool.end_gang(run, how)

    def end_member(self, gang: str, how: str) -> None:
        """End the member of a gang that is here after another member has ended."""
        life = self.life
        for run in list(life.runs.values()) if life else []:
            if run.gang == gang and life is not None:
                own = "done" if how == "done" else "broken"
                life.end(run, own)
                self._pool.record.note(
                    "run", own, task=run.task, run=run.number, worker=life.worker, machine=self.name
                )

    def _clock_ms(self) -> int:
        return round(1000 * (_now() - self._pool.zero_s)) + 480_000

    async def _handle(self, request: Request) -> Answer:
        life = self.life
        if life is None:
            raise Silence  # The machine is off: it says nothing.
        if request.headers.get("saddlestack-target-instance") != life.worker:
            return 421, None
        if self.is_unhealthy:
            self._pool.record.note("worker", "is busy", machine=self.name, path=request.path)
            return 503, None
        body = request.body
        if body["fence"] < life.fence:
            return 409, {"clock-ms": self._clock_ms(), "reason": "fence"}
        life.fence = body["fence"]
        if request.path == "/api/hold":
            return await self._hold(life, body)
        if request.path == "/api/run-start":
            return self._start(life, body)
        if request.path == "/api/run-stop":
            key = (body["task"], body["run"])
            life.over[body["task"]] = max(life.over.get(body["task"], 0), body["run"])
            if key in life.runs:
                self._end(life, life.runs[key], "stopped")
        return 200, {"clock-ms": self._clock_ms()}

    async def _hold(self, life: Life, body: dict[str, object]) -> Answer:
        self._extend(life, body.get("deadline-ms"))
        seen = int(str(body.get("last-seen", 0)))
        life.ended = [end for end in life.ended if int(str(end[0])) > seen]
        wait_s = min(2.0, int(str(body.get("wait-ms", 0))) / 1000)
        if wait_s and not life.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await life.changed.wait()
            except TimeoutError:
                pass
        if int(str(body["fence"])) < life.fence:
            return 409, {"clock-ms": self._clock_ms(), "reason": "fence"}
        now = _now()
        running = [[r.task, r.number, "", r.percent(now), 0] for r in life.runs.values()]
        return 200, {"clock-ms": self._clock_ms(), "running": running, "ended": life.ended[:500]}

    def _start(self, life: Life, body: dict[str, object]) -> Answer:
        task, number = str(body["task"]), int(str(body["run"]))
        clock_ms = self._clock_ms()
        key = (task, number)
        if key in life.runs:
            return 200, {"clock-ms": clock_ms}
        self._extend(life, body.get("deadline-ms"))
        if number <= life.over.get(task, 0):
            return 409, {"clock-ms": clock_ms, "reason": "old"}
        if clock_ms >= float(str(body["deadline-ms"])):
            return 409, {"clock-ms": clock_ms, "reason": "late"}
        run = Run(task, number, json.loads(str(body.get("spec") or "{}")), _now())
        if run.gpus + sum(other.gpus for other in life.runs.values()) > GPUS:
            return 409, {"clock-ms": clock_ms, "reason": "room"}
        life.runs[key] = run
        self._pool.record.note(
            "run",
            "starts",
            task=task,
            run=number,
            worker=life.worker,
            machine=self.name,
            fence=body["fence"],
        )
        return 200, {"clock-ms": clock_ms}

    def _extend(self, life: Life, deadline_ms: object) -> None:
        """Extend the lease; one longer than the longest hold is cut to that."""
        if deadline_ms is not None:
            until_ms = min(float(str(deadline_ms)), self._clock_ms() + self._pool.hold_ms)
            life.lease_until_ms = max(life.lease_until_ms, until_ms)


class Pool:
    """All machines of a deployment, and their heartbeats."""

    def __init__(self, store: Store, record: Record, service: str, hold_ms: float) -> None:
        self.store = store
        self.record = record
        self.service = service
        self.hold_ms = hold_ms
        self.zero_s = _now()
        self.machines: dict[str, Machine] = {}
        self._members: Counter[str] = Counter()

    async def add(self, name: str, address: str, hall: str, rack: str) -> Machine:
        """Add a machine and start its worker."""
        machine = Machine(name, address, hall, rack, self)
        self.machines[name] = machine
        await machine.start()
        return machine

    async def run(self) -> None:
        """Advance the runs and write heartbeats until cancelled."""
        beat_s = _now()
        while True:
            await asyncio.sleep(TICK_S)
            self._count_members()
            for machine in self.machines.values():
                machine.tick()
            if _now() >= beat_s + HEARTBEAT_S:
                beat_s = _now()
                for machine in self.machines.values():
                    machine.write_record()

    def is_gang_present(self, run: Run) -> bool:
        """Whether all members of a run's gang are present; true without a gang."""
        return self._members[run.gang] >= int(str(run.spec.get("gang", 0)))

    def end_gang(self, run: Run, how: str) -> None:
        """End the other members of a gang."""
        for machine in self.machines.values():
            machine.end_member(run.gang, how)

    def _count_members(self) -> None:
        lives = [machine.life for machine in self.machines.values() if machine.life is not None]
        self._members = Counter(
            run.gang for life in lives for run in life.runs.values() if run.spec.get("gang")
        )


class MachineService:
    """The platform's service for whole machines, which doesn't check fencing tokens."""

    def __init__(self, pool: Pool, record: Record, waves: dict[int, list[str]]) -> None:
        self._pool = pool
        self._record = record
        self._waves = waves
        self._done: set[tuple[int, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = Server(self._handle)

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/api/machines":
            return 200, {"machines": [self._row(each) for each in self._pool.machines.values()]}
        name = request.body["machine"]
        if request.path != "/api/machine-upkeep":
            return 400, None
        status, value = self._upkeep(name, request.body["wave"])
        self._record.note(
            "order",
            "upkeep",
            machine=name,
            wave=request.body["wave"],
            holder=request.headers.get("saddlestack-lease-holder"),
            token=int(request.headers.get("saddlestack-fence-token", "0")),
            status=status,
            reason=(value or {}).get("reason", ""),
        )
        return status, value

    def _upkeep(self, name: str, wave: int) -> tuple[int, dict[str, str] | None]:
        machine = self._pool.machines.get(name)
        if machine is None:
            return 400, None
        if (wave, name) in self._done:
            return 200, None
        if name not in self._waves.get(wave, []):
            return 409, {"reason": "wave"}
        if machine.state != "up" or (machine.life is not None and machine.life.draining):
            return 409, {"reason": "busy"}
        self._done.add((wave, name))
        machine.end_life("upkeep")
        task = asyncio.get_running_loop().create_task(self._return(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, None

    async def _return(self, machine: Machine) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        machine.begin_life()

    def _row(self, machine: Machine) -> dict[str, object]:
        return {
            "machine": machine.name,
            "pool": self._pool.service,
            "state": machine.state,
            "zone": machine.hall,
            "labels": ["a", machine.rack],
            "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": GPUS},
            "id": machine.life.worker if machine.life else "",
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
