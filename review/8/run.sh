#!/usr/bin/env bash
# Runs the case with the interpreter that the deploy file's build makes; exits with 1, 0 or 2.
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python case.py
