"""Replays of traces through the scheduling policy on a virtual clock."""
