"""Days of troubles for the users' bench."""
