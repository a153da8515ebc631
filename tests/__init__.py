"""All tests. Which of them are known to fail is KNOWN-RED.txt's word (known_red.py)."""

import os


def load_tests(loader, standard, pattern):
    """All tests of this folder, as discovery asks for them."""
    from . import known_red

    standard.addTests(
        loader.discover(
            os.path.dirname(__file__), pattern or 'test*.py', os.path.dirname(os.path.dirname(__file__))
        )
    )
    return known_red.mark(standard, known_red.listed())
