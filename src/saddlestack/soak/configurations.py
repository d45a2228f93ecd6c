"""Changes the configuration during a soak, as operators do.

Changes come in series. They add queues and keys, remove them and add them again, and now and then a
document is invalid.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from saddlestack.soak.platform import SoakPlatform, api_key_of, configuration
from saddlestack.soak.shape import ConfigurationMix, SoakShape

MAX_VERSION_STEP = 5
QUEUES = tuple(f"idle-{number}" for number in range(6))
"""Queues that are added and removed; no job is submitted to them."""
KEYS = tuple(f"extra-key-{number}" for number in range(4))
"""Keys of the first account that are given and taken away."""
INVALID_VERSION_STEP = 1_000_000
MAX_SERIES = 6


@dataclass(slots=True)
class ConfigurationVersion:
    """A valid version of the configuration. Times are those of the event loop.

    :param queues: the names of all queues.
    :param keys: the keys of all accounts.
    :param sent_s: when it was sent to the store.
    :param confirmed_s: when the store had it; infinite before.
    """

    number: int
    queues: frozenset[str]
    keys: frozenset[str]
    sent_s: float
    confirmed_s: float = math.inf

    def status(self, queue: str, key: str) -> int:
        """The HTTP status of a client's call in this version."""
        if queue not in self.queues:
            return 404
        return 200 if key in self.keys else 401


@dataclass(slots=True)
class ConfigurationHistory:
    """All versions of a soak, each of which is confirmed before the next is sent.

    :ivar invalid: how many invalid documents were written.
    """

    versions: list[ConfigurationVersion] = field(default_factory=list)
    invalid: int = 0

    @property
    def current(self) -> ConfigurationVersion:
        """The newest version."""
        return self.versions[-1]

    def possible(self, sent_s: float, answered_s: float, apply_s: float) -> set[int]:
        """Return the indexes of the versions by which a call may be handled.

        :param sent_s: when the call was sent.
        :param apply_s: time after which a confirmed version is in force.
        """
        found = set()
        for index, version in enumerate(self.versions):
            is_last = index + 1 == len(self.versions)
            replaced_s = math.inf if is_last else self.versions[index + 1].confirmed_s
            if version.sent_s <= answered_s and replaced_s + apply_s >= sent_s:
                found.add(index)
        return found


class ConfigurationChanges:
    """Writes new versions until cancelled."""

    def __init__(
        self, shape: SoakShape, mix: ConfigurationMix, platform: SoakPlatform, rng: random.Random
    ) -> None:
        self._shape = shape
        self._mix = mix
        self._platform = platform
        self._rng = rng
        self._queues: frozenset[str] = frozenset()
        self._keys: frozenset[str] = frozenset()
        self.history = ConfigurationHistory()
        now = asyncio.get_running_loop().time()
        first = self._version(1, now)
        first.confirmed_s = now
        self.history.versions.append(first)

    async def run(self) -> None:
        """Write single versions and series of them until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*self._mix.pause_s))
            for _ in range(self._rng.choice((1, 1, self._rng.randint(2, MAX_SERIES)))):
                if self._rng.random() < self._mix.invalid_share:
                    await self._write_invalid()
                await self._write_next()
                await asyncio.sleep(self._rng.uniform(*self._mix.series_pause_s))

    async def restore(self) -> None:
        """Write a valid version, in case the last document was invalid."""
        await self._write_next()

    def probed_queues(self) -> list[str]:
        """Queues whose calls show which version is in force, and one that never exists."""
        return [self._shape.kinds[0].name, *QUEUES, "never"]

    def probed_keys(self) -> list[str]:
        """Keys whose calls show which version is in force."""
        return [api_key_of(self._shape.accounts[0].name), *KEYS]

    async def _write_next(self) -> None:
        self._queues ^= {self._rng.choice(QUEUES)}
        self._keys ^= {self._rng.choice(KEYS)}
        number = self.history.current.number + self._rng.randint(1, MAX_VERSION_STEP)
        version = self._version(number, asyncio.get_running_loop().time())
        self.history.versions.append(version)
        document = configuration(
            self._shape, number, queues=sorted(self._queues), keys=sorted(self._keys)
        )
        version.confirmed_s = await self._platform.configure(document)

    async def _write_invalid(self) -> None:
        number = self.history.current.number + INVALID_VERSION_STEP
        document = self._rng.choice(invalid_documents(configuration(self._shape, number)))
        self.history.invalid += 1
        await self._platform.configure(document)

    def _version(self, number: int, sent_s: float) -> ConfigurationVersion:
        kinds = {kind.name for kind in self._shape.kinds}
        keys = {api_key_of(account.name) for account in self._shape.accounts}
        return ConfigurationVersion(
            number, frozenset(kinds | self._queues), frozenset(keys | self._keys), sent_s
        )


def invalid_documents(valid: bytes) -> Sequence[bytes]:
    """Return documents made from a valid one that are truncated, not whole or contradictory."""
    document = msgspec.json.decode(valid)
    route = document["routes"][0]
    return (
        valid[: len(valid) // 2],
        msgspec.json.encode({"version": document["version"]}),
        msgspec.json.encode({**document, "routes": [*document["routes"], route]}),
        msgspec.json.encode({**document, "services": []}),
        valid[:-1] + b',"version":3}',
    )
