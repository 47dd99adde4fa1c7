"""Decision logic without side effects: each module takes events and returns actions or new state.

The modules do no I/O and read neither a clock nor a global random generator; callers pass both in.
"""
