#!/bin/sh
# Builds the stand-ins of the third review's scripts. They are plain Python without dependencies, so
# that compiling them is enough.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins3 9 10 11 12
