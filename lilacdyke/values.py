"""Strict parsing and formatting of values on the simulator's wire, in settings, HTTP headers and lists.

Defines the unit of time and its conversion from seconds. A malformed value is an error and is never guessed.
"""

import re
from math import isfinite

STATES = {'SERVING': 'ready', 'DRAINING': 'draining', 'DELETED': 'gone'}  # server states in lists
SECOND = 10_000  # in units of 0.1 ms, the unit of time in the package
NUMBER = re.compile(r'[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?\Z')
DIGITS = re.compile(r'\d+\Z')


class InvalidValueError(Exception):
    """Raised for a malformed line or value; the message says what is wrong."""


def non_negative_int(text):
    """Parse a non-negative integer."""
    if not DIGITS.match(text):
        raise InvalidValueError('not a whole number: %r' % text)
    return int(text)


def number(text):
    """Parse a number that is finite, also when converted to the unit of time."""
    if not NUMBER.match(text):
        raise InvalidValueError('not a number: %r' % text)
    value = float(text)
    if not isfinite(value * SECOND):
        raise InvalidValueError('out of range: %r' % text)
    return value


def boolean(text):
    """Parse a boolean, 1 or 0."""
    if text not in ('0', '1'):
        raise InvalidValueError('neither 1 nor 0: %r' % text)
    return text == '1'


def optional(read, text):
    """Parse a value, or return None for '-', which stands for an absent one."""
    return None if text == '-' else read(text)


def to_ticks_floor(seconds):
    """Convert seconds to units of 0.1 ms, rounded down, for limits that must not be exceeded."""
    scaled = seconds * SECOND
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < 1e-4 else int(scaled // 1)


def to_ticks_ceil(seconds):
    """Convert seconds to units of 0.1 ms, rounded up, for what must not happen early."""
    return -to_ticks_floor(-seconds)


def format_seconds(ticks):
    """Format a time in units of 0.1 ms as seconds, exactly."""
    sign, ticks = ('-', -ticks) if ticks < 0 else ('', ticks)
    return '%s%d.%04d' % (sign, ticks // SECOND, ticks % SECOND)


def load_report(text):
    """Parse a load report into a dict of its named values."""
    loads = {}
    for part in text.split(','):
        name, colon, value = part.partition(':')
        if not colon or not name:
            raise InvalidValueError('not a load report: %r' % text)
        loads[name] = number(value)
        if loads[name] < 0:
            raise InvalidValueError('a load below nothing: %r' % text)
    return loads


def hex_bytes(text):
    """Parse bytes written as hex digits."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise InvalidValueError('not hex digits: %r' % text) from None
