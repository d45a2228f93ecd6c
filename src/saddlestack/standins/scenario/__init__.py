"""Scenarios: a small line language for failures against real daemons and stand-ins.

One verb a line, words as a shell would split them, `#` begins a comment, times in seconds.
Everything runs in one process over loopback, on a virtual clock unless asked otherwise. At
the end of every scenario the brief's promises are held against the records of endpoints and
callers. See ``docs/scenarios.md`` for all verbs.
"""
