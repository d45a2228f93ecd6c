"""A seeded simulation of a deployment in virtual time, each VM on an event loop of its own.

A VM may stand still or be slow at any step while workers, store and the other VMs go on; workers,
the store and the ways between them have many faults at once. ``python -m tests.simulation`` plays
days by hand.
"""
