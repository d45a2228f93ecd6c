"""A scheduler for multi-accelerator jobs under client account guarantees.

>>> import saddlestack
>>> job = saddlestack.submit("replay-0412", 16, vm="127.0.0.1:7080", token="…", wait=60)
>>> job.state
<JobState.DONE: 'done'>
"""

from __future__ import annotations

from typing import Any

from saddlestack.client import AsyncClient, Client
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import (
    Account,
    Adjacency,
    Guarantee,
    Intent,
    JobClass,
    JobState,
    JobView,
    Plan,
    Shape,
)

__version__ = "0.1.0"

__all__ = [
    "Account",
    "Adjacency",
    "AsyncClient",
    "Client",
    "ErrorKind",
    "Guarantee",
    "Intent",
    "JobClass",
    "JobState",
    "JobView",
    "Plan",
    "SaddlestackError",
    "Shape",
    "cancel",
    "job",
    "submit",
]


def submit(request: str, accelerators: int, *, vm: str, token: str, **options: Any) -> JobView:
    """Submit one job; see :meth:`saddlestack.Client.submit` for the options.

    :param vm: an entry VM or the load balancer, as ``IP:PORT``.
    :rtype: JobView
    """
    with _client(vm, token) as client:
        return client.submit(request, accelerators, **options)


def job(request: str, *, vm: str, token: str, wait: float = 0.0) -> JobView:
    """Return one job."""
    with _client(vm, token) as client:
        return client.job(request, wait=wait)


def cancel(request: str, *, vm: str, token: str) -> JobView:
    """Cancel one job."""
    with _client(vm, token) as client:
        return client.cancel(request)


def _client(vm: str, token: str) -> Client:
    address, _, port = vm.rpartition(":")
    return Client([(address, int(port))], token)
