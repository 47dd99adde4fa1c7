"""Decisions of subsystems: events in, actions out; no I/O and no clock."""
