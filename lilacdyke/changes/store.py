"""A writer's file: one JSON object per line, each synced to disk before its change is sent.

A truncated last line, as a crash leaves it, was never sent and is dropped; any other malformed line is an
error. A line that could not be stored is truncated from the file before the next one is written. A long file
is compacted at a start.
"""

import errno
import os
from contextlib import suppress

import msgspec

from ..net.logs import log_warning
from ..values import InvalidValueError
from .writer import ChangePut, Compacted, EpochBegun, Line, NotStoredError

COMPACT_FROM_LINES = 4_096  # a file of this many lines is compacted at a start
NAME = 'changes.jsonl'
MODE = 0o644
LINE_END = b'\n'


def read(folder):
    """Return the lines of a folder's file, [] if there is no file. Raise InvalidValueError if it cannot be
    read."""
    path = os.path.join(folder, NAME)
    try:
        with open(path, 'rb') as file:
            return parse(path, file.read())[0]
    except FileNotFoundError:
        return []
    except OSError as err:
        raise InvalidValueError('%s: %s' % (path, err)) from None


def parse(path, text):
    """Return the complete lines in a file's bytes and their length in bytes. Raise InvalidValueError on a bad
    line."""
    rows = text.split(LINE_END)
    lines_found = []
    for number, row in enumerate(rows[:-1], 1):
        try:
            lines_found.append(msgspec.json.decode(row, type=Line))
        except msgspec.MsgspecError as err:
            raise InvalidValueError('%s: line %d: %s' % (path, number, err)) from None
    return lines_found, len(text) - len(rows[-1])


def compacted(lines):
    """Return one line with the same state if there are many, else the same list."""
    if len(lines) < COMPACT_FROM_LINES:
        return lines
    epoch, configuration, newest = 0, {}, 0
    for line in lines:
        if isinstance(line, EpochBegun):
            epoch = max(epoch, line.epoch)
        elif isinstance(line, Compacted):
            epoch, configuration, newest = max(epoch, line.epoch), dict(line.configuration), line.newest
        elif isinstance(line, ChangePut):
            newest = max(newest, line.change.at)
            if line.change.kind == 'config':
                configuration.update({item.key: item.value for item in line.change.items})
    return [Compacted(epoch, configuration, newest)]


def write_all(descriptor, data):
    """Write all of the data, in as many calls as it takes. Raise OSError if that fails."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        remaining = remaining[written:]


def sync_folder(folder):
    """Sync the entries of a folder to disk. Raise OSError if that fails."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DiskError(InvalidValueError):
    """The file cannot be opened or read, perhaps only for now. The message is one line."""


class Store:
    """A writer's file, open for appending. Raises DiskError if it cannot be opened or read, InvalidValueError
    if it is malformed.

    lines: the lines at the start. length: bytes of stored lines; anything beyond is truncated before the next
    line is written.
    """

    def __init__(self, folder):
        self.folder, self.path = folder, os.path.join(folder, NAME)
        self.descriptor = None
        try:
            self.open()
            with open(self.path, 'rb') as file:
                self.lines, self.length = parse(self.path, file.read())
            self.clean = False  # whether the file ends at that length, also on disk
            self.name_synced = False  # whether its folder entry is on disk
            self.compact()
        except OSError as err:
            self.close()
            raise DiskError('%s: %s' % (self.path, err)) from None
        except InvalidValueError:
            self.close()
            raise

    def open(self):
        """Open the file, or create it."""
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, MODE)

    def compact(self):
        """Replace a long file by a short one with the same state. If that fails, keep the long one."""
        compacted_lines = compacted(self.lines)
        if compacted_lines is self.lines:
            return
        data = b''.join(msgspec.json.encode(line) + LINE_END for line in compacted_lines)
        try:
            self.replace(data)
        except OSError as err:
            log_warning('file not shortened', path=self.path, reason=err)
            return
        self.lines, self.length = compacted_lines, len(data)

    def replace(self, data):
        """Replace the file atomically by one with these bytes. Raise OSError if that fails."""
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

    def truncate_to_stored(self):
        """Truncate the file to its stored lines, and sync its folder entry. Raise OSError if that fails."""
        if not self.name_synced:
            sync_folder(self.folder)
            self.name_synced = True
        if not self.clean:
            os.ftruncate(self.descriptor, self.length)
            os.fsync(self.descriptor)
            self.clean = True

    def append_record(self, line):
        """Append a line and sync it to disk. Raise NotStoredError if that fails.

        The line is then not in the file; or, if the error says so, it may be there until the next is stored.
        """
        data = msgspec.json.encode(line) + LINE_END
        try:
            self.truncate_to_stored()
            self.clean = False
            write_all(self.descriptor, data)
            os.fsync(self.descriptor)
        except OSError as err:
            raise self.refusal(err) from None
        self.length += len(data)
        self.clean = True

    def refusal(self, err):
        """Truncate the file after a failed write, and return the error to raise."""
        try:
            self.truncate_to_stored()
        except OSError:
            return NotStoredError('not kept, may come back with a restart: %s' % err.strerror)
        return NotStoredError('not kept: %s' % err.strerror)

    def close(self):
        """Close the file."""
        if self.descriptor is not None:
            descriptor, self.descriptor = self.descriptor, None
            with suppress(OSError):
                os.close(descriptor)
