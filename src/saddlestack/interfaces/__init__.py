"""Interfaces to a platform, independent of any particular one.

They are implemented by a platform's adapter, which is the only code that knows the platform's own
names.
"""
