"""Scale tests: what each role costs by the size of the installation, and what that comes to at a named size.

A node imports nothing of it.
"""
