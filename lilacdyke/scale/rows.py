"""Measured rows: one measurement at one size, with what it takes to make it again.

Owns the form of the recorded files: a JSON object a line. Must never hold a figure that no run gave.
"""

import os
import platform
from statistics import median

import msgspec

from ..values import BadLine


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measurement, repeated."""

    measure: str  # its name, see slopes.MEASURES
    size: int  # what is varied: servers, forwarders, limits, ...
    unit: str
    values: list[float]  # one for each repeat
    command: str  # that gives the row again
    seed: int
    machine: str

    @property
    def median(self):
        """The middle of its repeats."""
        return median(self.values)

    @property
    def spread(self):
        """How far its repeats lie apart, as a part of their median."""
        return (max(self.values) - min(self.values)) / self.median if self.median else 0.0


def machine():
    """What machine this is, without its name."""
    return '%s, %d processors, Python %s' % (
        platform.machine(),
        os.cpu_count() or 0,
        platform.python_version(),
    )


def write(path, rows, append=False):
    """Record rows, in place of what the file held or behind it."""
    with open(path, 'ab' if append else 'wb') as file:
        for row in rows:
            file.write(msgspec.json.encode(row) + b'\n')


def read(path):
    """The recorded rows; a BadLine names the line that is none."""
    found = []
    try:
        with open(path, 'rb') as file:
            for number, line in enumerate(file, 1):
                try:
                    row = msgspec.json.decode(line, type=Row)
                except msgspec.MsgspecError as err:
                    raise BadLine('line %d: %s' % (number, err)) from None
                if not row.values:
                    raise BadLine('line %d: values: there are none' % number)
                found.append(row)
    except OSError as err:
        raise BadLine(str(err)) from None
    return found
