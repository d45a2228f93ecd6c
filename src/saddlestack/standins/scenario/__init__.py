"""Scenarios: a line-based language to test failures with real daemons and stand-ins.

Each line has a verb and its words, split as by a shell; `#` starts a comment, and times are in
seconds. Everything runs in one process over loopback, by default on a virtual clock. At the end of
every scenario the scheduler's invariants are checked against the records of endpoints and callers.
See ``docs/scenarios.md`` for all verbs.
"""
