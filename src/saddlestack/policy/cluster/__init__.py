"""State of a cluster of workers, and the scheduling decisions on its jobs and tasks."""
