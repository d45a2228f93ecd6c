"""The tests; what the daemons log is left out of their output."""

import logging

logging.getLogger("saddlestack").setLevel(logging.CRITICAL)
