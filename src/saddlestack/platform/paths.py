"""Paths of the platform's calls, for both sides of them. See the platform's protocol page."""

from __future__ import annotations

START = "/api/run-start"
STOP = "/api/run-stop"
HOLD = "/api/hold"
TRANSACTION = "/api/kv-txn"
KEEP_LEASE = "/api/kv-keep/"
"""A lease's number follows."""
READY = "/api/ready"
