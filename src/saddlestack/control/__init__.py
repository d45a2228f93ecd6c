"""The services of an entry VM, which schedule jobs through the platform's store."""
