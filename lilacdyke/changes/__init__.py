"""Distribution of changes (configuration, purges) from their writers to all nodes.

Off unless a file turns it on; a node that has none imports nothing of it.
"""
