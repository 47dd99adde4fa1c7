"""Faults to plant in a copy of the program: the judge must find each."""
