"""Transport: HTTP with h11, and msgpack streams with typed messages."""
