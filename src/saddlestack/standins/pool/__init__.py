"""Stand-ins for the platform of a pool: its store and its workers, with faults on request."""
