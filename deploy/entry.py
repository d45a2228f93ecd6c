"""Starts an entry VM from the settings file that SADDLESTACK_SETTINGS names."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from saddlestack.cli.entry import main

main(Path(os.environ["SADDLESTACK_SETTINGS"]))
