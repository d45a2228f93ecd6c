"""The configuration document of a stand-in pool, in the format of the platform's store."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

SERVICE = "pool"
HOST = "jobs.example"
KEY = "a-key-of-the-account"
ACCOUNT = "depots"
QUEUES = (("urgent", 0), ("normal", 1), ("bulk", 2))


def pool_document(
    version: int, *, attempts: int, guaranteed: int, advised: Collection[str] = ()
) -> bytes:
    """Return a document with one queue per priority and two client accounts.

    :param attempts: maximum number of attempts for a task.
    :param guaranteed: accelerators that are guaranteed to the first account.
    :param advised: queues whose starts need the adviser's approval.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "service": SERVICE,
            "priority": priority,
            "max-attempts": attempts,
            **({"advice": {"decide-ms": 10}} if name in advised else {}),
        }
        for name, priority in QUEUES
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "admission-check": True}],
        "tenants": [
            {"name": ACCOUNT, "api-keys": [KEY], "guaranteed": {"gpu": guaranteed}},
            {"name": "others", "api-keys": ["another-key"]},
        ],
    }
    return msgspec.json.encode(document)
