"""A writer's file: a JSON object a line, each written through to the disk before what it says is sent out.

Owns the file's form and its shortening at a start. A last line that is cut off, as by a crash while it was
written, was never sent out and is dropped; anything else out of form is an error. A line that cannot be kept
is taken out of the file again before the next is written. Must never say of a line that it is kept before
all of it is on the disk, nor let one that was refused stay.
"""

import errno
import os
from contextlib import suppress

import msgspec

from ..net.logs import warn
from ..values import BadLine
from .writer import Begun, Compacted, Line, NotKeptError, Put

LINES = 4_096  # from which a file is shortened at a start
NAME = 'changes.jsonl'
MODE = 0o644
LINE_END = b'\n'


def read(folder):
    """The lines of a folder's file; none where there is no file. Raises BadLine."""
    path = os.path.join(folder, NAME)
    try:
        with open(path, 'rb') as file:
            return parse(path, file.read())[0]
    except FileNotFoundError:
        return []
    except OSError as err:
        raise BadLine('%s: %s' % (path, err)) from None


def parse(path, text):
    """The whole lines of a file's bytes, and how many bytes these are. Raises BadLine."""
    rows = text.split(LINE_END)
    lines_found = []
    for number, row in enumerate(rows[:-1], 1):
        try:
            lines_found.append(msgspec.json.decode(row, type=Line))
        except msgspec.MsgspecError as err:
            raise BadLine('%s: line %d: %s' % (path, number, err)) from None
    return lines_found, len(text) - len(rows[-1])


def compacted(lines):
    """The same state in few lines, where there are many."""
    if len(lines) < LINES:
        return lines
    epoch, configuration, newest = 0, {}, 0
    for line in lines:
        if isinstance(line, Begun):
            epoch = max(epoch, line.epoch)
        elif isinstance(line, Compacted):
            epoch, configuration, newest = max(epoch, line.epoch), dict(line.configuration), line.newest
        elif isinstance(line, Put):
            newest = max(newest, line.change.at)
            if line.change.kind == 'config':
                configuration.update({item.key: item.value for item in line.change.items})
    return [Compacted(epoch, configuration, newest)]


def write_all(descriptor, data):
    """Write all of it, however little the system takes at a time. Raises OSError."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        remaining = remaining[written:]


def sync_folder(folder):
    """Have the names in a folder reach the disk. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DiskError(BadLine):
    """The file cannot be opened or read now. Says why in one line."""


class Store:
    """The file, open for what follows. Raises DiskError where it cannot be opened or read, BadLine where it
    is out of form.

    lines: what it held at the start. length: bytes of it that are kept; what may stand beyond is no line of
    ours and is cut off before the next is written.
    """

    def __init__(self, folder):
        self.folder, self.path = folder, os.path.join(folder, NAME)
        self.descriptor = None
        try:
            self.open()
            with open(self.path, 'rb') as file:
                self.lines, self.length = parse(self.path, file.read())
            self.clean = False  # whether the file ends at that length, on the disk as well
            self.name_synced = False  # whether its name has reached the disk
            self.compact()
        except OSError as err:
            self.close()
            raise DiskError('%s: %s' % (self.path, err)) from None
        except BadLine:
            self.close()
            raise

    def open(self):
        """Open the file, or make it."""
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, MODE)

    def compact(self):
        """Put a shorter file of the same state in place of a long one. Should that fail, the long one goes
        on."""
        compacted_lines = compacted(self.lines)
        if compacted_lines is self.lines:
            return
        data = b''.join(msgspec.json.encode(line) + LINE_END for line in compacted_lines)
        try:
            self.replace(data)
        except OSError as err:
            warn('file not shortened', path=self.path, reason=err)
            return
        self.lines, self.length = compacted_lines, len(data)

    def replace(self, data):
        """Put a file of these bytes in the place of the present one, whole or not at all. Raises OSError."""
        new = self.path + '.new'
        descriptor = os.open(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, MODE)
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(new, self.path)
        except OSError:
            os.close(descriptor)
            with suppress(OSError):
                os.unlink(new)
            raise
        self.close()
        self.descriptor = descriptor

    def cut_back(self):
        """Take out what may stand beyond the last line that is kept, and see to the file's name. Raises
        OSError."""
        if not self.name_synced:
            sync_folder(self.folder)
            self.name_synced = True
        if not self.clean:
            os.ftruncate(self.descriptor, self.length)
            os.fsync(self.descriptor)
            self.clean = True

    def keep(self, line):
        """Write a line down for good. Raises NotKeptError; the line is then not in the file, or, where that
        says so, it may be until the next is kept."""
        data = msgspec.json.encode(line) + LINE_END
        try:
            self.cut_back()
            self.clean = False
            write_all(self.descriptor, data)
            os.fsync(self.descriptor)
        except OSError as err:
            raise self.refusal(err) from None
        self.length += len(data)
        self.clean = True

    def refusal(self, err):
        """The error for a line that was not kept, with the file cut back, if that can be done now."""
        try:
            self.cut_back()
        except OSError:
            return NotKeptError('not kept, may come back with a restart: %s' % err.strerror)
        return NotKeptError('not kept: %s' % err.strerror)

    def close(self):
        """Nothing more is written."""
        if self.descriptor is not None:
            descriptor, self.descriptor = self.descriptor, None
            with suppress(OSError):
                os.close(descriptor)
