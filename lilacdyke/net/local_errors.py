"""Classification of errnos that indicate a failure of the local machine rather than of a peer.

Also extracts the errno from a Twisted connection failure. The sets follow the Linux man pages of
accept(2), connect(2), socket(2), send(2), recv(2) and epoll_ctl(2).
"""

import errno

# socket(2) and connect(2): out of memory, descriptors or ports, no route, or a local firewall rule.
# ECONNREFUSED, ETIMEDOUT and EHOSTUNREACH are excluded: they come from the peer or the network.
LOCAL_CONNECT_ERRNOS = frozenset(
    (
        *(errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EAGAIN),
        *(errno.EADDRINUSE, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES, errno.EINTR),
        *(errno.ENOSPC, errno.EPROTO),
    )
)
# send(2) and recv(2): the connection is unaffected and the call can be retried.
RETRIED_IO_ERRNOS = frozenset((errno.ENOBUFS, errno.ENOMEM, errno.EINTR))
# epoll_ctl(2): the call can be retried.
RETRIED_EPOLL_ERRNOS = frozenset((errno.ENOMEM, errno.ENOSPC, errno.EINTR))
# accept(2): out of descriptors; out of memory; the pending connection itself has failed.
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
NO_MEMORY = frozenset((errno.ENOBUFS, errno.ENOMEM))
ACCEPT_GONE = frozenset(
    (
        *(errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN, errno.ENOPROTOOPT),
        *(errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH),
        *(errno.ECONNRESET, errno.ETIMEDOUT),
    )
)


def errno_name(number):
    """Return the symbolic name of an errno, such as `ENOBUFS`."""
    return errno.errorcode.get(number, 'E%s' % number)


def connecting_errno(failure):
    """Return the errno of a failed connection attempt from its Twisted Failure, or None if it carries
    none.
    """
    told = getattr(failure.value, 'osError', None) or getattr(failure.value, 'errno', None)
    return told if isinstance(told, int) else None


def local_errno(failure):
    """Return the errno of a failed connection attempt if the local machine caused it, else None."""
    told = connecting_errno(failure)
    return told if told in LOCAL_CONNECT_ERRNOS else None
