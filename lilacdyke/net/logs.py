"""The node's log: lines of key=value on standard error.

Owns the form of a line. Must never be called for each request, and never holds anything back.
"""

import logging
import sys
from time import gmtime, strftime

LOG = logging.getLogger('lilacdyke')


class KeyValue(logging.Formatter):
    """at=… level=… event=… and the fields given with the event."""

    def format(self, record):
        """One line, whatever the values hold."""
        at = '%s.%03dZ' % (strftime('%Y-%m-%dT%H:%M:%S', gmtime(record.created)), record.msecs)
        pairs = {'at': at, 'level': record.levelname.lower(), 'event': record.getMessage()}
        pairs.update(getattr(record, 'fields', {}))
        if record.exc_info:
            pairs['trace'] = self.formatException(record.exc_info)
        return ' '.join('%s=%s' % (key, self.quoted(str(value))) for key, value in pairs.items())

    @staticmethod
    def quoted(text):
        """Quoted where a reader could take it for more than one value."""
        if text and not any(c in ' ="\\' or not c.isprintable() for c in text):
            return text
        return '"%s"' % ''.join(c if c.isprintable() and c not in '"\\' else
                                c.encode('unicode_escape').decode() if c not in '"\\' else '\\' + c
                                for c in text)


def begin(level):
    """Send the package's and Twisted's lines to standard error in this form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    LOG.setLevel(level.upper())


def say(event, level=logging.INFO, **fields):
    """One event with its fields."""
    LOG.log(level, event, extra={'fields': fields})


def warn(event, **fields):
    """One event that staff should look at."""
    say(event, logging.WARNING, **fields)
