#!/usr/bin/env bash
# Runs the case with the interpreter that the deploy file's build makes.  Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "the deploy file's build has not been run"; exit 2; }
exec ../../.venv/bin/python case.py
