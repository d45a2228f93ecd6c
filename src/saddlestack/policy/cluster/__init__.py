"""The board: jobs, tasks and workers of one pool, and every decision about them."""
