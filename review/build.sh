#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need only the standard library.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins.py [0-9]
