"""The order in which one process of a node takes over from another, without I/O.

Owns which of the two takes new clients, and how many descriptors each may hold. Must never touch a socket or
a clock, or leave a moment in which neither takes clients while one of them could.

One Succession a process. It may have an elder (the process before it) and an heir (the one after it) at once.
Inputs only update it; the host then looks at accepting, holding, room and kept.
"""

# Where the heir stands: there is none; it has state and queue; it serves; it served, and has stood still
# since.
NONE, GIVEN, SERVES, SILENT = 'none', 'given', 'serves', 'silent'
KEPT = 4  # one in so many descriptors stays an elder's, to take clients again


class Succession:
    """Where this process stands between the one before it and the one after it."""

    __slots__ = ('limit', 'spare', 'heir', 'elder_holds', 'ending')

    def __init__(self, limit, spare):
        self.limit, self.spare = limit, spare  # descriptors of the whole node; what each process sets aside
        self.heir = NONE
        self.elder_holds = 0  # descriptors of the process before this one, while there is one
        self.ending = False  # SIGTERM has come

    # --- inputs -----------------------------------------------------------------------------------------

    def heir_came(self):
        """One that starts asks for the queue. Whether it is given: only one at a time has it."""
        if self.heir != NONE:
            return False
        self.heir = GIVEN
        return True

    def heir_serves(self):
        """It takes clients from here on."""
        if self.heir in (GIVEN, SILENT):
            self.heir = SERVES

    def heir_silent(self):
        """Nothing was heard of it for too long. Guards against an heir that stands still right after its yes:
        both processes hold the queue, and neither would look at it. That this one does so as well, should the
        heir go on, costs nothing."""
        if self.heir == SERVES:
            self.heir = SILENT

    def heir_gone(self):
        """Its link has ended: it is dead, or another takes over from it."""
        if not (self.ending and self.heir in (SERVES, SILENT)):
            self.heir = NONE  # else it has the node for good, as far as this process knows

    def elder_told(self, holds):
        """The elder holds so many descriptors now."""
        self.elder_holds = holds

    def elder_gone(self):
        """It has ended; all is this process's."""
        self.elder_holds = 0

    def end(self):
        """This process is to exit."""
        self.ending = True

    # --- what follows -----------------------------------------------------------------------------------

    @property
    def accepting(self):
        """Whether this process takes new clients."""
        return self.heir != SERVES

    @property
    def holding(self):
        """Whether the queue is held on to though this process is to exit: the heir does not look at it."""
        return self.heir in (GIVEN, SILENT)

    @property
    def handed(self):
        """Whether the heir has this node's part of budgets: it keeps that though it stands still."""
        return self.heir in (SERVES, SILENT)

    @property
    def kept(self):
        """How many descriptors stay this process's though an heir serves."""
        return max(0, self.limit // KEPT - self.spare // 2)

    @property
    def room(self):
        """How many descriptors clients and servers may hold here, while no heir serves: then what is let go
        is the heir's."""
        return max(0, self.limit - self.spare - self.elder_holds)
