"""End-to-end tests: real processes of the program with faults injected into them and into their links.

Never loaded by a node or a planner.
"""
