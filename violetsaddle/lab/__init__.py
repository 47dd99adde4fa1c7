"""Puts a world and real nodes on a stage (virtual time or sockets), drives load, judges, reports."""
