"""Calls to the operating system that fail for a while: which call, which time, and how.

Owns the rules and the counting of calls. The simulated network (network.py) and, beneath a real process's
libraries, trial/shim.py ask it before each call. Must never import anything that reads a clock or opens a
socket: the shim is loaded before such a library is.
"""

import errno
from collections import Counter

# What the Linux man pages name for calls that otherwise would have succeeded; for accept(2) also the pending
# network errors that it passes on. EINTR is left out where the interpreter itself calls again (PEP 475).
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
    """One rule: the calls of one kind that fail, from the first-th on since the rule was set.

    call: a key of ERRNOS. errno: what it fails with; 0: it does not. count: so many calls; None: all.
    until: by the caller's clock; None: no end. size: at most so many bytes are taken or given; None: all.
    kill: the process is killed there instead.
    """

    __slots__ = ('call', 'errno', 'first', 'count', 'until', 'size', 'kill', 'seen')

    def __init__(self, call, errno=0, first=1, count=None, until=None, size=None, kill=False):
        self.call, self.errno, self.first, self.count = call, errno, first, count
        self.until, self.size, self.kill, self.seen = until, size, kill, 0

    def meets(self, now):
        """Whether one more call, made now, is one that it is about."""
        self.seen += 1
        if self.seen < self.first or self.until is not None and now >= self.until:
            return False
        return self.count is None or self.seen < self.first + self.count


class CallFaults:
    """The rules of one process, and how many calls of each kind it has made."""

    def __init__(self, clock=lambda: 0):
        self.clock, self.rules, self.made = clock, (), Counter()
        self.failed = Counter()  # by (call, errno)

    def put(self, rules):
        """These rules from now on, and no others."""
        self.rules = tuple(rules)

    def add(self, rule):
        """One more."""
        self.rules += (rule,)

    def remove(self, rule):
        """One less."""
        self.rules = tuple(other for other in self.rules if other is not rule)

    def check(self, call):
        """One more call of this kind is made: the rule that it meets, or None."""
        self.made[call] += 1
        met = None
        for rule in self.rules:
            if rule.call == call and rule.meets(self.clock()):
                met = met or rule
        if met is not None and met.errno:
            self.failed[call, met.errno] += 1
        return met

    def raise_for(self, call):
        """The same, where no size matters: raises the OSError that the call fails with."""
        met = self.check(call)
        if met is not None and met.errno:
            raise OSError(met.errno, 'injected')


def parsed(tree, clock):
    """A rule of plain values, whose `for_s` counts from now."""
    fields = {
        name: tree[name] for name in ('call', 'errno', 'first', 'count', 'size', 'kill') if name in tree
    }
    span = tree.get('for_s')
    return CallFault(until=None if span is None else clock() + span, **fields)
