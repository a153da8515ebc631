"""Injected failures of system calls: which call fails, when, and how.

The simulated network (network.py) and, in real processes, trial/shim.py consult these rules before each call.
Imports nothing that reads a clock or opens a socket, since the shim is loaded before such libraries.
"""

import errno
from collections import Counter

# Errors that the Linux man pages document for each call; for accept(2) also the pending network errors that
# it passes on. EINTR is left out where the interpreter retries by itself (PEP 475).
ERRNOS = {
    'accept': (
        *(errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO),
        *(errno.EPERM, errno.EAGAIN, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN),
    ),
    'socket': (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES),
    'connect': (
        *(errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.EPERM),
        *(errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED),
    ),
    'connected': (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ENETUNREACH),  # SO_ERROR
    'send': (errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE),
    'recv': (
        errno.ENOMEM,
        errno.ENOBUFS,
        errno.EAGAIN,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.ECONNRESET,
    ),
    'getsockopt': (errno.ENOBUFS, errno.ENOMEM),
    'setsockopt': (errno.ENOBUFS, errno.ENOMEM),
    'getsockname': (errno.ENOBUFS,),
    'getpeername': (errno.ENOBUFS, errno.ENOTCONN),
    'shutdown': (errno.ENOTCONN,),
    'close': (errno.EIO,),
    'epoll_ctl': (errno.ENOMEM, errno.ENOSPC),
    'epoll_wait': (errno.EINTR,),
    'open': (errno.ENOSPC, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM),
    'read': (errno.EIO,),
    'write': (errno.ENOSPC, errno.EIO, errno.EDQUOT),
    'fsync': (errno.EIO, errno.ENOSPC, errno.EDQUOT),
    'rename': (errno.ENOSPC, errno.EIO, errno.EDQUOT),
    'truncate': (errno.EIO,),
}
SOCKET_CALLS = tuple(ERRNOS)[: tuple(ERRNOS).index('open')]
FILE_CALLS = tuple(ERRNOS)[len(SOCKET_CALLS) :]


class CallFault:
    """A rule that makes calls of one kind fail.

    call: a key of ERRNOS. errno: the error; 0: none. first: the first call affected, counted from 1 since the
    rule was set. count: how many calls are affected; None: all. until: end by the caller's clock; None: no
    end. size: the largest number of bytes moved; None: all. kill: the process is killed instead.
    """

    __slots__ = ('call', 'errno', 'first', 'count', 'until', 'size', 'kill', 'seen')

    def __init__(self, call, errno=0, first=1, count=None, until=None, size=None, kill=False):
        self.call, self.errno, self.first, self.count = call, errno, first, count
        self.until, self.size, self.kill, self.seen = until, size, kill, 0

    def meets(self, now):
        """Count a call made now and return whether the rule applies to it."""
        self.seen += 1
        if self.seen < self.first or self.until is not None and now >= self.until:
            return False
        return self.count is None or self.seen < self.first + self.count


class CallFaults:
    """The rules of one process, and its number of calls by kind."""

    def __init__(self, clock=lambda: 0):
        self.clock, self.rules, self.made = clock, (), Counter()
        self.failed = Counter()  # by (call, errno)

    def put(self, rules):
        """Replace all rules."""
        self.rules = tuple(rules)

    def add(self, rule):
        """Add a rule."""
        self.rules += (rule,)

    def remove(self, rule):
        """Remove a rule."""
        self.rules = tuple(other for other in self.rules if other is not rule)

    def check(self, call):
        """Count a call of this kind and return the rule that applies, or None."""
        self.made[call] += 1
        matched = None
        for rule in self.rules:
            if rule.call == call and rule.meets(self.clock()):
                matched = matched or rule
        if matched is not None and matched.errno:
            self.failed[call, matched.errno] += 1
        return matched

    def raise_for(self, call):
        """Count a call of this kind and raise OSError if it is to fail."""
        matched = self.check(call)
        if matched is not None and matched.errno:
            raise OSError(matched.errno, 'injected')


def parsed(values, clock):
    """Build a rule from plain values; `for_s` counts from now."""
    fields = {
        name: values[name] for name in ('call', 'errno', 'first', 'count', 'size', 'kill') if name in values
    }
    span = values.get('for_s')
    return CallFault(until=None if span is None else clock() + span, **fields)
