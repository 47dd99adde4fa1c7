"""Measurements on the real program; each module is a command of its own."""
