#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python files that need nothing but the interpreter of the deploy
# file's build, so that compiling them is all.
set -euo pipefail
cd "$(dirname "$0")"
../.venv/bin/python -m py_compile parties.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
