"""In-process stand-ins for the external systems: store, VM list and endpoint."""
