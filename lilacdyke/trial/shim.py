"""Injects system faults beneath the program's libraries: wall clock steps, failing calls, short reads and
writes.

    python -m lilacdyke.trial.shim BOARD COMMAND ...

Replaces `time.time` and related functions, the methods of `socket.socket`, `select.epoll`, and the file
calls of `os` and `open` before any library is imported, so that Twisted and `logging` see the faults as
well. Must never be imported by the program, nor import a library first.

BOARD is a file that the test writes (Board) and this process maps: a change takes effect at the next call.
Its JSON:
    wall_s  seconds by which the wall clock is ahead of the machine's
    calls   rules: call, errno, first, count, for_s, size, kill (lab/callfaults.py)
"""

# ruff: noqa: TID251  replaces the clock calls that are banned elsewhere

import ctypes
import json
import mmap
import os
import select
import signal
import socket
import struct
import sys
import time

from ..lab.callfaults import CallFaults, parsed
from ..lab.file_faults import bend_files, failing

SIZE = 65_536
HEAD = struct.Struct('<QI')  # version, length of the JSON text
REAL_TIME, MONOTONIC = time.time, time.monotonic


class Board:
    """The writing side of a board: sets the current faults."""

    def __init__(self, path):
        self.path, self.version = path, 0
        with open(path, 'wb') as file:
            file.truncate(SIZE)
        self.file = open(path, 'r+b')  # noqa: SIM115  kept open for the map
        self.map = mmap.mmap(self.file.fileno(), SIZE)
        self.put()

    def put(self, wall_s=0.0, calls=()):
        """Replace the current faults."""
        text = json.dumps({'wall_s': wall_s, 'calls': list(calls)}).encode()
        self.version += 1
        self.map[HEAD.size : HEAD.size + len(text)] = text
        self.map[: HEAD.size] = HEAD.pack(self.version, len(text))

    def close(self):
        """Close the board but keep its file."""
        self.map.close()
        self.file.close()


class Faults:
    """The reading side of a board: the current faults of this process."""

    def __init__(self, path):
        with open(path, 'rb') as file:
            self.map = mmap.mmap(file.fileno(), SIZE, prot=mmap.PROT_READ)
        self.version, self.wall_s = 0, 0.0
        self.calls = CallFaults(MONOTONIC)
        self.refresh()

    def refresh(self):
        """Read the board if it has changed; a partly written one is read at the next call."""
        version, length = HEAD.unpack_from(self.map)
        if version == self.version:
            return
        try:
            content = json.loads(self.map[HEAD.size : HEAD.size + length])
        except ValueError:
            return
        self.version, self.wall_s = version, content['wall_s']
        self.calls.put([parsed(rule, MONOTONIC) for rule in content['calls']])

    def match_rule(self, call):
        """Count one more call and return the rule that applies, or None; kill the process if the rule says
        so."""
        self.refresh()
        rule = self.calls.check(call)
        if rule is not None and rule.kill:
            os.kill(os.getpid(), signal.SIGKILL)
        return rule

    def fail(self, call):
        """Raise OSError if the call must fail; else return the maximum number of bytes to transfer, or
        None."""
        rule = self.match_rule(call)
        if rule is not None and rule.errno:
            raise OSError(rule.errno, os.strerror(rule.errno))
        return None if rule is None else rule.size


def patch_clock(faults):
    """Replace the wall clock of the `time` module; the monotonic clocks stay."""

    def wall():
        faults.refresh()
        return REAL_TIME() + faults.wall_s

    real_gettime, real_gmtime, real_localtime = time.clock_gettime, time.gmtime, time.localtime
    time.time = wall
    time.time_ns = lambda: int(wall() * 1e9)
    time.clock_gettime = lambda clock: wall() if clock == time.CLOCK_REALTIME else real_gettime(clock)
    time.gmtime = lambda seconds=None: real_gmtime(wall() if seconds is None else seconds)
    time.localtime = lambda seconds=None: real_localtime(wall() if seconds is None else seconds)


def patch_sockets(faults):
    """Replace the methods of all sockets, including those created by libraries."""
    real = {name: getattr(socket.socket, name) for name in SOCKET_METHODS}
    for name, call in SOCKET_METHODS.items():
        setattr(socket.socket, name, failing(faults, real[name], call))
    patch_connecting(faults, real)
    patch_transfers(faults, real)


def patch_connecting(faults, real):
    """Replace the creation and connection of sockets, where some failures are returned and not raised."""
    real_init = socket.socket.__init__

    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):  # noqa: N807
        if fileno is None:
            faults.fail('socket')
        real_init(self, family, type, proto, fileno)

    def connect_ex(self, address):
        rule = faults.match_rule('connect')
        return rule.errno if rule is not None and rule.errno else real['connect_ex'](self, address)

    def getsockopt(self, level, option, *size):
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            rule = faults.match_rule('connected')
            if rule is not None and rule.errno:
                return rule.errno
        else:
            faults.fail('getsockopt')
        return real['getsockopt'](self, level, option, *size)

    socket.socket.__init__ = __init__
    socket.socket.connect_ex, socket.socket.getsockopt = connect_ex, getsockopt


def patch_transfers(faults, real):
    """Replace send and recv, which may transfer only some of the bytes."""

    def send(self, data, flags=0):
        size = faults.fail('send')
        return real['send'](self, data if size is None else data[:size], flags)

    def recv(self, count, flags=0):
        size = faults.fail('recv')
        return real['recv'](self, count if size is None else min(count, size), flags)

    socket.socket.send, socket.socket.recv = send, recv


# The call name used in rules, by socket method.
SOCKET_METHODS = {
    'connect': 'connect',
    'connect_ex': 'connect',
    'accept': 'accept',
    'send': 'send',
    'sendmsg': 'send',
    'sendall': 'send',
    'recv': 'recv',
    'getsockopt': 'getsockopt',
    'setsockopt': 'setsockopt',
    'getsockname': 'getsockname',
    'getpeername': 'getpeername',
    'shutdown': 'shutdown',
}


def patch_epoll(faults):
    """Replace epoll registration. Waits never fail: the interpreter retries interrupted ones."""
    real = select.epoll

    class Epoll:
        """An epoll whose calls may fail."""

        def __init__(self, *given, **named):
            self.held = real(*given, **named)

        def __getattr__(self, name):
            return getattr(self.held, name)

        def register(self, *given):
            faults.fail('epoll_ctl')
            return self.held.register(*given)

        def modify(self, *given):
            faults.fail('epoll_ctl')
            return self.held.modify(*given)

    select.epoll = Epoll


def patch_all(path):
    """Apply all replacements and return the Faults of the board."""
    faults = Faults(path)
    patch_clock(faults)
    patch_sockets(faults)
    patch_epoll(faults)
    bend_files(faults)
    return faults


def die_with_parent():
    """Have the kernel kill this process when its parent ends in any way."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))
    if os.getppid() == 1:
        sys.exit(1)


def main():
    """Apply the replacements, then run the program's own command line."""
    die_with_parent()
    patch_all(sys.argv[1])
    from ..__main__ import main as program

    program(sys.argv[2:], prog_name='lilacdyke')


if __name__ == '__main__':
    main()
