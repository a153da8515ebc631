"""Distribution of configuration changes and purges from their writers to all nodes.

Optional: a node without a changes file never imports this package.
"""
