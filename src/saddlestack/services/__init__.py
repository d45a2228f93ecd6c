"""The services that run in the daemon of an entry VM."""
