"""Options of the scheduling decisions that a deployment switches on by its settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingOptions:
    """Which optional decisions are made. With the defaults none is.

    :param worker_speeds: learn how fast each worker is, and place work accordingly.
    :param speed_memory_s: seconds after which evidence about a worker's speed counts half.
    :param speed_write_interval_s: minimum seconds between two writes of speeds to the store.
    :param gang_priority: collect resources for waiting gangs before work of lower priority, and
        share them fairly among client accounts.
    :param gang_priority_min_workers: workers of a pool from which on ``gang_priority`` takes
        effect.
    :param demand_forecast: size the headroom by the recent demand of urgent work.
    :param last_attempt_wait_s: maximum seconds for which a step on its last attempt waits for
        healthy workers while several workers are faulty; 0 for no wait.
    """

    worker_speeds: bool = False
    speed_memory_s: float = 60.0
    speed_write_interval_s: float = 2.0
    gang_priority: bool = False
    gang_priority_min_workers: int = 0
    demand_forecast: bool = False
    last_attempt_wait_s: float = 0.0
