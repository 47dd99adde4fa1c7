"""Decisions of new subsystems: events in, actions out.  No I/O, no clock, no global source of chance."""
