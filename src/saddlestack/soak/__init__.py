"""A randomized soak test: real processes, injected faults and checks of the invariants."""
