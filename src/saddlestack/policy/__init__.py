"""Scheduling policies: pure code without I/O, shared by the daemon, the replay and the tests."""
