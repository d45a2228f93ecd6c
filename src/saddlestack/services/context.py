"""The context shared by all services of a daemon."""

from __future__ import annotations

import random
from dataclasses import dataclass

from saddlestack.kernel.clock import Clock
from saddlestack.kernel.registry import Registry
from saddlestack.settings import Settings
from saddlestack.wire.dialer import Dialer


@dataclass(slots=True)
class Context:
    """Settings, clock, network dialer, random generator and service registry of one daemon.

    :param incarnation: increases with each start of the VM's daemon.
    """

    settings: Settings
    clock: Clock
    dialer: Dialer
    rng: random.Random
    registry: Registry
    incarnation: int

    @property
    def vm(self) -> str:
        """The name of this VM."""
        return self.settings.vm

    @property
    def data_hall(self) -> str:
        """The data hall of this VM."""
        return self.settings.data_hall
