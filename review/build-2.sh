#!/bin/sh
# Checks that the stand-ins of cases 4 to 8 load; they are plain Python without dependencies.
# Run after the build line of deploy/system.toml, which puts the daemons' libraries into target/.
cd "$(dirname "$0")/.." || exit 1
exec env PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/standins2")
import deployment, http11, store, workers
'
