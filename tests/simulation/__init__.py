"""A seeded simulation of a deployment in virtual time, each VM on an event loop of its own.

A VM may be paused or slowed down at any step while workers, the store and the other VMs continue.
Workers, the store and the links between them may have many faults at once.
``python -m tests.simulation`` runs days from the command line.
"""
