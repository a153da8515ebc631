"""Faults of the machine beneath the program's libraries: a wall clock that steps, calls that fail.

Calls may also fall short: a write or read that moves only some of its bytes.

    python -m lilacdyke.trial.shim BOARD COMMAND ...

Owns what stands in place of the interpreter's own calls: `time.time` and its kin, the methods of
`socket.socket`, `select.epoll`, and the file calls of `os` and `open`. They are replaced before any library
is imported, so that Twisted and `logging` see the faults as well as the program. Needs no compiler. Must
never be imported by the program, nor import a library first.

BOARD is a file that the faults' owner writes (Board) and this process maps: a change takes effect at the
next call. Its JSON:
    wall_s  by how much the wall clock is ahead of the machine's
    calls   rules: call, errno, first, count, for_s, size, kill (lab/callfaults.py)
"""

# ruff: noqa: TID251  it stands in place of the calls that all others may not make

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

from ..lab.bentfiles import bend_files, failing
from ..lab.callfaults import CallFaults, parsed

SIZE = 65_536
HEAD = struct.Struct('<QI')  # version, length of the JSON that follows
REAL_TIME, MONOTONIC = time.time, time.monotonic


class Board:
    """The owner's side of a board: says which faults there are from now on."""

    def __init__(self, path):
        self.path, self.version = path, 0
        with open(path, 'wb') as file:
            file.truncate(SIZE)
        self.file = open(path, 'r+b')  # noqa: SIM115  it stays open
        self.map = mmap.mmap(self.file.fileno(), SIZE)
        self.put()

    def put(self, wall_s=0.0, calls=()):
        """These faults and no others."""
        text = json.dumps({'wall_s': wall_s, 'calls': list(calls)}).encode()
        self.version += 1
        self.map[HEAD.size : HEAD.size + len(text)] = text
        self.map[: HEAD.size] = HEAD.pack(self.version, len(text))

    def close(self):
        """The file stays."""
        self.map.close()
        self.file.close()


class Faults:
    """The process's side: what its board says now."""

    def __init__(self, path):
        with open(path, 'rb') as file:
            self.map = mmap.mmap(file.fileno(), SIZE, prot=mmap.PROT_READ)
        self.version, self.wall_s = 0, 0.0
        self.calls = CallFaults(MONOTONIC)
        self.look()

    def look(self):
        """Take over what the board says, if that has changed. One that is being written is read next time."""
        version, length = HEAD.unpack_from(self.map)
        if version == self.version:
            return
        try:
            told = json.loads(self.map[HEAD.size : HEAD.size + length])
        except ValueError:
            return
        self.version, self.wall_s = version, told['wall_s']
        self.calls.put([parsed(rule, MONOTONIC) for rule in told['calls']])

    def met(self, call):
        """The rule that one more call meets, or None. One that kills does not return."""
        self.look()
        rule = self.calls.check(call)
        if rule is not None and rule.kill:
            os.kill(os.getpid(), signal.SIGKILL)
        return rule

    def fail(self, call):
        """Raise what the call fails with now, if it does; else the most bytes that it may move, or None."""
        rule = self.met(call)
        if rule is not None and rule.errno:
            raise OSError(rule.errno, os.strerror(rule.errno))
        return None if rule is None else rule.size


def bend_clock(faults):
    """The wall clock, for all who ask the `time` module. The monotonic ones stay."""

    def wall():
        faults.look()
        return REAL_TIME() + faults.wall_s

    real_gettime, real_gmtime, real_localtime = time.clock_gettime, time.gmtime, time.localtime
    time.time = wall
    time.time_ns = lambda: int(wall() * 1e9)
    time.clock_gettime = lambda clock: wall() if clock == time.CLOCK_REALTIME else real_gettime(clock)
    time.gmtime = lambda seconds=None: real_gmtime(wall() if seconds is None else seconds)
    time.localtime = lambda seconds=None: real_localtime(wall() if seconds is None else seconds)


def bend_sockets(faults):
    """The methods of all sockets, also those that libraries make."""
    real = {name: getattr(socket.socket, name) for name in SOCKET_METHODS}
    for name, call in SOCKET_METHODS.items():
        setattr(socket.socket, name, failing(faults, real[name], call))
    bend_connecting(faults, real)
    bend_moving(faults, real)


def bend_connecting(faults, real):
    """How sockets are made and connected, where a failure is told otherwise than by an exception."""
    real_init = socket.socket.__init__

    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):  # noqa: N807
        if fileno is None:
            faults.fail('socket')
        real_init(self, family, type, proto, fileno)

    def connect_ex(self, address):
        rule = faults.met('connect')
        return rule.errno if rule is not None and rule.errno else real['connect_ex'](self, address)

    def getsockopt(self, level, option, *size):
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            rule = faults.met('connected')
            if rule is not None and rule.errno:
                return rule.errno
        else:
            faults.fail('getsockopt')
        return real['getsockopt'](self, level, option, *size)

    socket.socket.__init__ = __init__
    socket.socket.connect_ex, socket.socket.getsockopt = connect_ex, getsockopt


def bend_moving(faults, real):
    """Bytes sent and received, of which only some may be."""

    def send(self, data, flags=0):
        size = faults.fail('send')
        return real['send'](self, data if size is None else data[:size], flags)

    def recv(self, count, flags=0):
        size = faults.fail('recv')
        return real['recv'](self, count if size is None else min(count, size), flags)

    socket.socket.send, socket.socket.recv = send, recv


# Which kind of call a socket's method counts as.
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


def bend_epoll(faults):
    """Interest in descriptors. A wait that is interrupted the interpreter calls again, so none fails."""
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


def bend(path):
    """All of it, from here on; what the board says."""
    faults = Faults(path)
    bend_clock(faults)
    bend_sockets(faults)
    bend_epoll(faults)
    bend_files(faults)
    return faults


def bound_to_parent():
    """Have the kernel kill this process with the one that started it, however that one ends."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))
    if os.getppid() == 1:
        sys.exit(1)


def main():
    """Bend, then run the program's own command line."""
    bound_to_parent()
    bend(sys.argv[1])
    from ..__main__ import main as program

    program(sys.argv[2:], prog_name='lilacdyke')


if __name__ == '__main__':
    main()
