"""Clients of the platform: the key-value store and the VM list."""
