"""The configuration document of a stand-in pool, in the format of the platform's store."""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec

SERVICE = "pool"
HOST = "jobs.example"
KEY = "a-key-of-the-account"
ACCOUNT = "depots"
QUEUES = (("urgent", 0), ("normal", 1), ("bulk", 2))


def idle_queues(count: int) -> list[str]:
    """Return names of queues that make a document large; they hardly compress."""
    names = random.Random(count)
    return [f"idle-{names.getrandbits(64):016x}" for _ in range(count)]


def pool_document(
    version: int,
    *,
    attempts: int,
    guaranteed: int,
    advised: Collection[str] = (),
    more_queues: Collection[str] = (),
    open_queues: Collection[str] = (),
    more_keys: Collection[str] = (),
) -> bytes:
    """Return a document with one queue per priority and two client accounts.

    :param attempts: maximum number of attempts for a task.
    :param guaranteed: accelerators that are guaranteed to the first account.
    :param advised: queues whose starts need the adviser's approval.
    :param more_queues: names of additional queues of normal priority.
    :param open_queues: those of the queues that need no API key.
    :param more_keys: additional API keys of the first account.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "service": SERVICE,
            "priority": priority,
            "max-attempts": attempts,
            **({"no-auth": True} if name in open_queues else {}),
            **({"advice": {"decide-ms": 10}} if name in advised else {}),
        }
        for name, priority in (*QUEUES, *((name, 1) for name in more_queues))
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "admission-check": True}],
        "tenants": [
            {"name": ACCOUNT, "api-keys": [KEY, *more_keys], "guaranteed": {"gpu": guaranteed}},
            {"name": "others", "api-keys": ["another-key"]},
        ],
    }
    return msgspec.json.encode(document)
