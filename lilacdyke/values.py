"""Values read and written strictly, for the bench's wire, settings, heads and lists alike.

Owns the clock's unit and how seconds become it. A value out of form is an error, never a guess.
"""

import re

STATES = {'SERVING': 'ready', 'DRAINING': 'draining', 'DELETED': 'gone'}  # a server's, as lists have it
SECOND = 10_000  # the package's clock: whole tenths of a millisecond
NUMBER = re.compile(r'[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?\Z')
WHOLE = re.compile(r'\d+\Z')


class BadLine(Exception):
    """A line that cannot be read; says what is wrong with it."""


def whole(text):
    """A whole number, not negative."""
    if not WHOLE.match(text):
        raise BadLine('not a whole number: %r' % text)
    return int(text)


def number(text):
    """A number with or without a fraction."""
    if not NUMBER.match(text):
        raise BadLine('not a number: %r' % text)
    value = float(text)
    if value - value != 0:
        raise BadLine('out of range: %r' % text)
    return value


def truth(text):
    """The wire's 1 and 0."""
    if text not in ('0', '1'):
        raise BadLine('neither 1 nor 0: %r' % text)
    return text == '1'


def optional(read, text):
    """The value, or None where the wire says it is absent."""
    return None if text == '-' else read(text)


def down(seconds):
    """Seconds in tenths of a millisecond, rounded down: for limits, which must not be overrun."""
    scaled = seconds * SECOND
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < 1e-4 else int(scaled // 1)


def up(seconds):
    """The same rounded up: for what must not come early."""
    return -down(-seconds)


def seconds(ticks):
    """Tenths of a millisecond as the wire's seconds, exactly."""
    sign, ticks = ('-', -ticks) if ticks < 0 else ('', ticks)
    return '%s%d.%04d' % (sign, ticks // SECOND, ticks % SECOND)


def report(text):
    """A load report, as a dict of its named values."""
    pairs = {}
    for part in text.split(','):
        name, colon, value = part.partition(':')
        if not colon or not name:
            raise BadLine('not a load report: %r' % text)
        pairs[name] = number(value)
        if pairs[name] < 0:
            raise BadLine('a load below nothing: %r' % text)
    return pairs


def hexbytes(text):
    """Bytes in hex digits."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise BadLine('not hex digits: %r' % text) from None
