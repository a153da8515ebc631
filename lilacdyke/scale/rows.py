"""Measured rows: one measurement at one size, with the command that repeats it.

A recorded file has one JSON object per line, and only figures that a run produced.
"""

import os
import platform
from statistics import median

import msgspec

from ..values import InvalidValueError


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One repeated measurement at one size."""

    measure: str  # a key of slopes.MEASURES, or the name of a figure of a run
    size: int  # servers, forwarders, limits, ...
    unit: str
    values: list[float]  # one per repeat
    command: str  # repeats the measurement
    seed: int
    machine: str

    @property
    def median(self):
        """The median of the repeats."""
        return median(self.values)

    @property
    def spread(self):
        """The range of the repeats as a fraction of their median."""
        return (max(self.values) - min(self.values)) / self.median if self.median else 0.0


def machine():
    """Return a description of this machine, without its name."""
    return '%s, %d processors, Python %s' % (
        platform.machine(),
        os.cpu_count() or 0,
        platform.python_version(),
    )


def write(path, rows, append=False):
    """Write rows to a file, replacing its content or appending to it."""
    with open(path, 'ab' if append else 'wb') as file:
        for row in rows:
            file.write(msgspec.json.encode(row) + b'\n')


def read(path):
    """Return the recorded rows. Raise InvalidValueError naming a line that is invalid."""
    found = []
    try:
        with open(path, 'rb') as file:
            for number, line in enumerate(file, 1):
                try:
                    row = msgspec.json.decode(line, type=Row)
                except msgspec.MsgspecError as err:
                    raise InvalidValueError('line %d: %s' % (number, err)) from None
                if not row.values:
                    raise InvalidValueError('line %d: values: is empty' % number)
                found.append(row)
    except OSError as err:
        raise InvalidValueError(str(err)) from None
    return found
