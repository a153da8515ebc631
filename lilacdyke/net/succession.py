"""State machine for handing a node over from one process to the next, without I/O or a clock.

It decides which process accepts new clients and how many descriptors each may hold. At any moment at least
one of the processes that can accept clients does.

Each process has one Succession and may have a predecessor and a successor at the same time. Inputs only
update the state; the caller then reads the properties.
"""

# States of the successor: there is none; it has the state and the listening socket; it serves clients; it
# served clients but has stopped sending heartbeats; it served clients but is about to exit, or has exited.
NONE, STATE_SENT, SERVING, UNRESPONSIVE, LEAVING = 'none', 'given', 'serves', 'silent', 'leaving'
RESERVED_SHARE = 4  # a predecessor keeps one in this many descriptors, so that it can accept clients again


class Succession:
    """State of the hand-over as one process sees it."""

    __slots__ = ('limit', 'spare', 'successor', 'predecessor_holds', 'ending')

    def __init__(self, limit, spare):
        self.limit, self.spare = limit, spare  # descriptors of the whole node; reserved in each process
        self.successor = NONE
        self.predecessor_holds = 0  # descriptors
        self.ending = False  # whether SIGTERM has arrived

    # --- inputs -----------------------------------------------------------------------------------------

    def successor_connected(self):
        """Return whether a new process gets the listening socket: only one at a time does."""
        if self.successor != NONE:
            return False
        self.successor = STATE_SENT
        return True

    def successor_serving(self):
        """The successor accepts clients from now on."""
        if self.successor in (STATE_SENT, UNRESPONSIVE):
            self.successor = SERVING

    def successor_unresponsive(self):
        """The successor's heartbeats have stopped, so this process accepts clients too.

        Otherwise a successor that hangs right after it began to serve would leave the listening socket to
        nobody. If it recovers, both may accept for a moment, which does no harm.
        """
        if self.successor == SERVING:
            self.successor = UNRESPONSIVE

    def successor_leaving(self):
        """The successor drains, so this process accepts clients too.

        Otherwise nobody would once the successor stops listening: its exit may be seconds away.
        """
        if self.successor in (SERVING, UNRESPONSIVE):
            self.successor = LEAVING

    def successor_gone(self):
        """The successor's link has ended: it exited, or its own successor has taken over.

        If this process is exiting too, the descriptors stay with that next successor, if there is one.
        """
        self.successor = LEAVING if self.ending and self.successor in (SERVING, UNRESPONSIVE) else NONE

    def predecessor_reported(self, holds):
        """The predecessor holds this many descriptors now."""
        self.predecessor_holds = holds

    def predecessor_gone(self):
        """The predecessor has ended, and this process may hold all descriptors."""
        self.predecessor_holds = 0

    def end(self):
        """This process is about to exit."""
        self.ending = True

    # --- outputs ----------------------------------------------------------------------------------------

    @property
    def accepting(self):
        """Whether this process accepts new clients."""
        return self.successor != SERVING

    @property
    def successor_listens(self):
        """Whether the successor goes on listening when this process exits."""
        return self.successor in (SERVING, UNRESPONSIVE)

    @property
    def keeps_listening(self):
        """Whether to keep the listening socket open while exiting, as the successor does not accept."""
        return self.successor in (STATE_SENT, UNRESPONSIVE)

    @property
    def handed(self):
        """Whether the successor has this node's share of the budgets; it keeps that until it has exited."""
        return self.successor in (SERVING, UNRESPONSIVE, LEAVING)

    @property
    def reserved(self):
        """How many descriptors this process keeps while a successor serves."""
        return max(0, self.limit // RESERVED_SHARE - self.spare // 2)

    @property
    def capacity(self):
        """How many descriptors this process may use for clients and servers while no successor serves."""
        return max(0, self.limit - self.spare - self.predecessor_holds)
