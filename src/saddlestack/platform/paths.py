"""Paths of the platform's calls, for clients and stand-ins. See the platform's protocol page."""

from __future__ import annotations

START = "/api/run-start"
STOP = "/api/run-stop"
HOLD = "/api/hold"
TRANSACTION = "/api/kv-txn"
KEEP_LEASE = "/api/kv-keep/"
"""Followed by the number of the lease."""
READY = "/api/ready"
