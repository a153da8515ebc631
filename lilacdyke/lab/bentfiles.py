"""File calls of the interpreter that fail, fall short, or are where the process is killed.

Owns what stands in place of `os.open`, `os.write` and their kin and of `open`. Used beneath real processes
(trial/shim.py) and in one process by the sweep of files (filesweep.py). Must never import a library beyond
the standard one.

`faults` is asked before each call: fail(call) raises what the call fails with, or gives the most bytes that
it may move, or None.
"""

import builtins
import io
import os

FILE_FUNCTIONS = {'fsync': 'fsync', 'replace': 'rename', 'rename': 'rename', 'ftruncate': 'truncate'}


def failing(faults, real, call):
    """A function or method that first may fail as this kind of call does."""

    def called(*given, **named):
        faults.fail(call)
        return real(*given, **named)

    return called


def bend_files(faults):
    """Files that are opened for writing, by `os` or by `open`, or for reading by `open`; modules are read
    otherwise."""
    real = {name: getattr(os, name) for name in ('open', 'write', *FILE_FUNCTIONS)}

    def open_(path, flags, *rest, **named):
        if flags & (os.O_WRONLY | os.O_RDWR | os.O_DIRECTORY):
            faults.fail('open')
        return real['open'](path, flags, *rest, **named)

    def write(fd, data):
        size = faults.fail('write')
        return real['write'](fd, data if size is None else data[:size])

    os.open, os.write = open_, write
    for name, call in FILE_FUNCTIONS.items():
        setattr(os, name, failing(faults, real[name], call))
    bend_open(faults)


def bend_open(faults):
    """What `open` makes for writing."""
    real_open = builtins.open

    class Raw(io.FileIO):
        """A file whose writes may fail or fall short."""

        def __init__(self, *given, **named):
            faults.fail('open')
            super().__init__(*given, **named)

        def write(self, data):
            size = faults.fail('write')
            return super().write(data if size is None else bytes(data)[:size])

        def truncate(self, size=None):
            faults.fail('truncate')
            return super().truncate(size)

    def open_(file, mode='r', buffering=-1, encoding=None, errors=None, newline=None, **named):
        if isinstance(file, int):
            return real_open(file, mode, buffering, encoding, errors, newline, **named)
        if not set(mode) & set('wax+'):
            faults.fail('read')
            return real_open(file, mode, buffering, encoding, errors, newline, **named)
        raw = Raw(file, mode.replace('b', '').replace('t', ''))
        if buffering == 0:
            return raw
        held = io.BufferedRandom(raw) if '+' in mode else io.BufferedWriter(raw)
        return held if 'b' in mode else io.TextIOWrapper(held, encoding or 'utf-8', errors, newline)

    builtins.open = io.open = open_


def restore(held):
    """Put back what `saved` gave."""
    builtins.open, io.open = held['open']
    for name, function in held['os'].items():
        setattr(os, name, function)


def saved():
    """What bend_files is about to replace."""
    return {
        'open': (builtins.open, io.open),
        'os': {name: getattr(os, name) for name in ('open', 'write', *FILE_FUNCTIONS)},
    }
