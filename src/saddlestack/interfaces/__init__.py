"""What the services need of a platform, in the product's own words.

A platform's adapter implements these protocols; nothing else knows its names.
"""
