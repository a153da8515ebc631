"""All tests; those listed in KNOWN-RED.txt are expected to fail (known_red.py)."""

import os


def load_tests(loader, standard, pattern):
    """Discover the tests of this directory and mark the known failures."""
    from . import known_red

    standard.addTests(
        loader.discover(
            os.path.dirname(__file__), pattern or 'test*.py', os.path.dirname(os.path.dirname(__file__))
        )
    )
    return known_red.mark(standard, known_red.listed())
