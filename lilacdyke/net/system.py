"""The operating system as a node uses it, apart from connections: clocks, limits and machine-wide names.

lilacdyke/lab/environment.py implements the same interface for simulated machines. Connections need no such
interface: sockets.py makes its calls on a transport's socket, and the simulator provides sockets too.
"""

import resource
import socket
from time import monotonic, time  # noqa: TID251  the only place that reads the wall clock


def process_status_kb(name):
    """Return a size from /proc/self/status in KiB, or 0 if that cannot be read."""
    try:
        with open('/proc/self/status', encoding='ascii') as file:
            return next((int(line.split()[1]) for line in file if line.startswith(name)), 0)
    except (OSError, ValueError):
        return 0


class System:
    """This process on its real operating system. Times are in seconds."""

    elapsed = staticmethod(monotonic)  # monotonic, from an arbitrary origin
    wall = staticmethod(
        time
    )  # Unix time; may be stepped at any moment, so only for log lines, server lists and operators

    @staticmethod
    def descriptors():
        """Return the soft limit on this process's open file descriptors; 0: no limit."""
        return max(0, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

    @staticmethod
    def memory_kb():
        """Return the peak resident set size of this process, in KiB.

        getrusage(2) may give that of the process that started this one.
        """
        return process_status_kb('VmHWM') or resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    @staticmethod
    def resident_kb():
        """Return the resident set size of this process, in KiB."""
        return process_status_kb('VmRSS') or resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    @staticmethod
    def hold(name):
        """Acquire a name that is exclusive on this machine until it is released or this process ends.

        Returns the handle that keeps the name, or None if another process has it. The handle is an abstract
        Unix socket, which the kernel frees with the process and which leaves no file.
        """
        handle = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            handle.bind('\0' + name)
        except OSError:
            handle.close()
            return None
        return handle

    @staticmethod
    def release_name(handle):
        """Release a name that `hold` acquired."""
        handle.close()
