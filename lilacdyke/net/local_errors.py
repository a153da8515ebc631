"""Failures of system calls that tell of this machine and nothing of the other side of a connection.

Owns which errnos these are, and how one is found in what Twisted says of a connection that did not come up.
Source: the Linux man pages of accept(2), connect(2), socket(2), send(2), recv(2), epoll_ctl(2).
"""

import errno

# Of socket(2) and connect(2): memory, descriptors, ports, routes and rules of this machine. ECONNREFUSED,
# ETIMEDOUT and EHOSTUNREACH are not among them: the other machine, or the way to it, answered so.
LOCAL_CONNECT_ERRNOS = frozenset(
    (
        *(errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EAGAIN),
        *(errno.EADDRINUSE, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES, errno.EINTR),
        *(errno.ENOSPC, errno.EPROTO),
    )
)
# Of send(2) and recv(2) on a connection, which is as it was before.
MOVING = frozenset((errno.ENOBUFS, errno.ENOMEM, errno.EINTR))
# Of epoll_ctl(2).
RETRIED_EPOLL_ERRNOS = frozenset((errno.ENOMEM, errno.ENOSPC, errno.EINTR))
# Of accept(2): no descriptor for the next connection; no memory for it. All others concern that one
# connection alone, which is gone.
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
NO_MEMORY = frozenset((errno.ENOBUFS, errno.ENOMEM))
ACCEPT_GONE = frozenset(
    (
        *(errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT),
        *(errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH),
        *(errno.ECONNRESET, errno.ETIMEDOUT),
    )
)


def name_of(number):
    """An errno's name, as `ENOBUFS`."""
    return errno.errorcode.get(number, 'E%s' % number)


def connecting_errno(failure):
    """The errno with which a connection did not come up, as a Twisted Failure tells it; None: it tells
    none."""
    told = getattr(failure.value, 'osError', None) or getattr(failure.value, 'errno', None)
    return told if isinstance(told, int) else None


def local_errno(failure):
    """The same, if it tells of this machine alone; else None."""
    told = connecting_errno(failure)
    return told if told in LOCAL_CONNECT_ERRNOS else None
