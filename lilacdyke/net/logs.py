"""Logging setup: key=value lines on standard error, with repeated warnings rate-limited."""

import json
import logging
import sys
from time import gmtime, strftime

from .system import System

LOG = logging.getLogger('lilacdyke')


class KeyValueFormatter(logging.Formatter):
    """Format a record as `at=… level=… event=…` followed by the fields of the event."""

    def format(self, record):
        """Return the record as a single line."""
        wall = System.wall()
        at = '%s.%03dZ' % (strftime('%Y-%m-%dT%H:%M:%S', gmtime(wall)), wall % 1 * 1_000)
        pairs = {'at': at, 'level': record.levelname.lower(), 'event': record.getMessage()}
        pairs.update(getattr(record, 'fields', {}))
        if record.exc_info:
            pairs['trace'] = self.formatException(record.exc_info)
        return ' '.join('%s=%s' % (key, self.quote(str(value))) for key, value in pairs.items())

    @staticmethod
    def quote(text):
        """Return the text, as a JSON string if it could be read as more than one value."""
        if text and text.isprintable() and not set(text) & set(' ="\\'):
            return text
        return json.dumps(text)


class RateLimitFilter(logging.Filter):
    """Limit each event of level warning and above to MOST lines a minute, by the monotonic clock.

    Keeps the log readable when every request runs into the same fault.
    """

    MOST = 5

    def __init__(self):
        super().__init__()
        self.window_start, self.counts = System.elapsed(), {}

    def filter(self, record):
        """Return whether this record is written."""
        if record.levelno < logging.WARNING:
            return True
        now = System.elapsed()
        if now - self.window_start >= 60:
            self.window_start, self.counts = now, {}
        event = record.getMessage()
        self.counts[event] = self.counts.get(event, 0) + 1
        return self.counts[event] <= self.MOST


def configure(level):
    """Log to standard error in this format: this package from `level` on, other libraries from warning on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    LOG.setLevel(level.upper())


def log_event(event, level=logging.INFO, **fields):
    """Log an event with its fields."""
    LOG.log(level, event, extra={'fields': fields})


def log_warning(event, **fields):
    """Log an event at level warning, for operators to look at."""
    log_event(event, logging.WARNING, **fields)
