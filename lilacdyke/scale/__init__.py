"""Scale tests: the cost of each role by installation size, and its projection to a reference size.

Nodes never import this package.
"""
