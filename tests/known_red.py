"""Tests that are known to fail for a real fault which is not mended yet.

Owns the form of KNOWN-RED.txt (`test, cause, issue` on a line, three lines at most) and what it does to a
run: just these tests are expected to fail, and are printed. Must never let another test fail, nor one of
these pass unseen: a listed test that passes, or that is not there, a line out of form and a fourth line each
fail the run.
"""

import os
import sys
import unittest

MOST = 3
PATH = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), 'KNOWN-RED.txt')


class Wrong(unittest.TestCase):
    """Stands for what is wrong with the list: it fails."""

    def __init__(self, text):
        super().__init__('told')
        self.text = text

    def told(self):
        self.fail('KNOWN-RED.txt: ' + self.text)


def read(text):
    """The list: ([(test, cause, issue)], what is wrong with it)."""
    rows, wrong = [], []
    for line in text.splitlines():
        test, _, rest = line.partition(',')
        cause, _, issue = rest.rpartition(',')
        row = tuple(part.strip() for part in (test, cause, issue))
        (rows if all(row) else wrong).append(row if all(row) else 'line out of form: %r' % line)
    if len(rows) + len(wrong) > MOST:
        wrong.append('more than %d lines' % MOST)
    if len({row[0] for row in rows}) < len(rows):
        wrong.append('a test twice')
    return rows, wrong


def each(suite):
    """All tests of a suite, however deep."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from each(test)
        else:
            yield test


def mark(suite, text, out=sys.stderr):
    """Have the listed tests of a suite be expected to fail, and add one that fails for each thing wrong with
    the list."""
    rows, wrong = read(text)
    found = {test.id(): test for test in each(suite)}
    for name, cause, issue in rows:
        if name in found:
            found[name].__unittest_expecting_failure__ = True
            print('known red: %s (issue %s): %s' % (name, issue, cause), file=out)
        else:
            wrong.append('no such test: %s' % name)
    suite.addTests(Wrong(text) for text in wrong)
    return suite


def listed():
    """The list's text; empty without one."""
    if not os.path.exists(PATH):
        return ''
    with open(PATH, encoding='utf-8') as file:
        return file.read()
