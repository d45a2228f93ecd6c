"""The services of an entry VM that schedules through the platform's store."""
