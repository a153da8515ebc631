"""Fault injection into the interpreter's file calls: failures, short writes, or a killed process.

Replaces `open`, `os.open`, `os.write` and related functions. Used in real processes (trial/shim.py) and in
one process by the sweep of file faults (filesweep.py). Imports only the standard library.

Before each call, faults.fail(call) raises the error that the call fails with, or returns the number of bytes
that it may write, or None.
"""

import builtins
import io
import os

FILE_FUNCTIONS = {'fsync': 'fsync', 'replace': 'rename', 'rename': 'rename', 'ftruncate': 'truncate'}


def failing(faults, real, call):
    """Wrap a function so that it fails when the faults say so for this kind of call."""

    def wrapper(*args, **kwargs):
        faults.fail(call)
        return real(*args, **kwargs)

    return wrapper


def bend_files(faults):
    """Inject faults into files opened for writing by `os` or `open`, or for reading by `open`. Imports of
    modules are not affected."""
    real = {name: getattr(os, name) for name in ('open', 'write', *FILE_FUNCTIONS)}

    def open_(path, flags, *rest, **kwargs):
        if flags & (os.O_WRONLY | os.O_RDWR | os.O_DIRECTORY):
            faults.fail('open')
        return real['open'](path, flags, *rest, **kwargs)

    def write(fd, data):
        size = faults.fail('write')
        return real['write'](fd, data if size is None else data[:size])

    os.open, os.write = open_, write
    for name, call in FILE_FUNCTIONS.items():
        setattr(os, name, failing(faults, real[name], call))
    inject_open_faults(faults)


def inject_open_faults(faults):
    """Inject faults into files opened by `open`."""
    real_open = builtins.open

    class Raw(io.FileIO):
        """A raw file whose writes may fail or be short."""

        def __init__(self, *args, **kwargs):
            faults.fail('open')
            super().__init__(*args, **kwargs)

        def write(self, data):
            size = faults.fail('write')
            return super().write(data if size is None else bytes(data)[:size])

        def truncate(self, size=None):
            faults.fail('truncate')
            return super().truncate(size)

    def open_(file, mode='r', buffering=-1, encoding=None, errors=None, newline=None, **kwargs):
        if isinstance(file, int):
            return real_open(file, mode, buffering, encoding, errors, newline, **kwargs)
        if not set(mode) & set('wax+'):
            faults.fail('read')
            return real_open(file, mode, buffering, encoding, errors, newline, **kwargs)
        raw = Raw(file, mode.replace('b', '').replace('t', ''))
        if buffering == 0:
            return raw
        buffered = io.BufferedRandom(raw) if '+' in mode else io.BufferedWriter(raw)
        return buffered if 'b' in mode else io.TextIOWrapper(buffered, encoding or 'utf-8', errors, newline)

    builtins.open = io.open = open_


def restore_functions(originals):
    """Restore the functions that `current_functions` returned."""
    builtins.open, io.open = originals['open']
    for name, function in originals['os'].items():
        setattr(os, name, function)


def current_functions():
    """Return the functions that bend_files replaces."""
    return {
        'open': (builtins.open, io.open),
        'os': {name: getattr(os, name) for name in ('open', 'write', *FILE_FUNCTIONS)},
    }
