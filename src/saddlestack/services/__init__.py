"""The services of a daemon."""
