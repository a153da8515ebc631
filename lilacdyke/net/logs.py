"""The node's log: lines of key=value on standard error.

Owns the form of a line. Must never be called for each request, and never holds anything back.
"""

import json
import logging
import sys
from time import gmtime, strftime

from .system import System

LOG = logging.getLogger('lilacdyke')


class KeyValue(logging.Formatter):
    """at=… level=… event=… and the fields given with the event."""

    def format(self, record):
        """One line, whatever the values hold."""
        wall = System.wall()
        at = '%s.%03dZ' % (strftime('%Y-%m-%dT%H:%M:%S', gmtime(wall)), wall % 1 * 1_000)
        pairs = {'at': at, 'level': record.levelname.lower(), 'event': record.getMessage()}
        pairs.update(getattr(record, 'fields', {}))
        if record.exc_info:
            pairs['trace'] = self.formatException(record.exc_info)
        return ' '.join('%s=%s' % (key, self.quoted(str(value))) for key, value in pairs.items())

    @staticmethod
    def quoted(text):
        """Quoted where a reader could take it for more than one value."""
        if text and text.isprintable() and not set(text) & set(' ="\\'):
            return text
        return json.dumps(text)


class Sparse(logging.Filter):
    """Guards against a fault, or a server's broken answers, that every request meets: the same event is
    written so often a minute, no more. The minute is one of real time, whatever the wall clock does."""

    MOST = 5

    def __init__(self):
        super().__init__()
        self.minute, self.seen = System.elapsed(), {}

    def filter(self, record):
        """Whether this record is written."""
        if record.levelno < logging.WARNING:
            return True
        now = System.elapsed()
        if now - self.minute >= 60:
            self.minute, self.seen = now, {}
        event = record.getMessage()
        self.seen[event] = self.seen.get(event, 0) + 1
        return self.seen[event] <= self.MOST


def begin(level):
    """Send the package's and Twisted's lines to standard error in this form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    handler.addFilter(Sparse())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    LOG.setLevel(level.upper())


def say(event, level=logging.INFO, **fields):
    """One event with its fields."""
    LOG.log(level, event, extra={'fields': fields})


def warn(event, **fields):
    """One event that staff should look at."""
    say(event, logging.WARNING, **fields)
