"""What a node asks of the machine it runs on, apart from connections: its clocks and its limits.

The seam's first home; the second is in lilacdyke/lab/ground.py, over simulated machines. Connections need no
seam of their own: what sockets.py asks past Twisted goes to the socket that a transport holds, and a
simulated one answers the same calls. Must never know what a node does.
"""

import resource
import socket
from time import monotonic, time  # noqa: TID251  the one place that reads the wall clock


class System:
    """This process on this machine, as its operating system tells. Times in seconds."""

    elapsed = staticmethod(monotonic)  # goes on evenly, from anywhere
    wall = staticmethod(time)  # Unix time, which may be stepped at any moment: for log lines, lists and staff

    @staticmethod
    def descriptors():
        """How many this process may hold; 0: not told."""
        return max(0, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

    @staticmethod
    def memory_kb():
        """The most that this process has held."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    @staticmethod
    def hold(name):
        """Have a name on this machine that no other process has, until this one ends, however: what keeps it,
        or None if it is another's. An abstract Unix socket: the kernel lets go of it with the process, and it
        leaves no file."""
        held = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            held.bind('\0' + name)
        except OSError:
            held.close()
            return None
        return held

    @staticmethod
    def let_go(held):
        """Another process may have the name from now on."""
        held.close()
