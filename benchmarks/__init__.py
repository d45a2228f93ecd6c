"""Benchmarks, which are run separately from the tests."""
