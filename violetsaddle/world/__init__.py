"""The model of everything outside a node: job boxes, roster, halls, front, clients, troubles.

No I/O and no clock of its own: times are handed in, as integer microseconds since the day's start, and all
chance comes from `day.chance`."""
