"""Days with faults for the users' bench."""
