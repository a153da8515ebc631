"""The trial environment: real processes of the program with faults between and within them. Never loaded by a
node or a planner."""
