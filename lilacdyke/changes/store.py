"""A writer's file: a JSON object a line, each written through to the disk before what it says is sent out.

Owns the file's form and its shortening at a start. A last line that is cut off, as by a crash while it was
written, was never sent out and is dropped; anything else out of form is an error.
"""

import os

import msgspec

from ..values import BadLine
from .writer import Begun, Kept, Line, Put

LINES = 4_096  # from which a file is shortened at a start
NAME = 'changes.jsonl'


def read(folder):
    """The lines of a folder's file; none where there is no file. Raises BadLine."""
    path = os.path.join(folder, NAME)
    try:
        with open(path, 'rb') as file:
            text = file.read()
    except FileNotFoundError:
        return []
    except OSError as err:
        raise BadLine('%s: %s' % (path, err)) from None
    rows = text.split(b'\n')
    found = []
    for number, row in enumerate(rows[:-1], 1):
        try:
            found.append(msgspec.json.decode(row, type=Line))
        except msgspec.MsgspecError as err:
            raise BadLine('%s: line %d: %s' % (path, number, err)) from None
    return found


def shortened(lines):
    """The same state in few lines, where there are many."""
    if len(lines) < LINES:
        return lines
    epoch, configuration, newest = 0, {}, 0
    for line in lines:
        if isinstance(line, Begun):
            epoch = max(epoch, line.epoch)
        elif isinstance(line, Kept):
            epoch, configuration, newest = max(epoch, line.epoch), dict(line.configuration), line.newest
        elif isinstance(line, Put):
            newest = max(newest, line.change.at)
            if line.change.kind == 'config':
                configuration.update({item.key: item.value for item in line.change.items})
    return [Kept(epoch, configuration, newest)]


class Store:
    """The file, open for what follows."""

    def __init__(self, folder):
        self.lines = shortened(read(folder))
        path = os.path.join(folder, NAME)
        try:
            with open(path + '.new', 'wb') as file:
                for line in self.lines:
                    file.write(msgspec.json.encode(line) + b'\n')
                file.flush()
                os.fsync(file.fileno())
            os.replace(path + '.new', path)
            self.file = open(path, 'ab', buffering=0)  # noqa: SIM115  it stays open
        except OSError as err:
            raise BadLine('%s: %s' % (path, err)) from None

    def keep(self, line):
        """Write a line down for good."""
        self.file.write(msgspec.json.encode(line) + b'\n')
        os.fsync(self.file.fileno())

    def close(self):
        """Nothing more is written."""
        self.file.close()
