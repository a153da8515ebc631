"""The budget of memory for what a process holds on behalf of its peers.

Each connection reports after each of its events how many bytes it holds. While they hold too much together,
new requests are refused, what arrives in part is not read any further, bodies are streamed in place of being
buffered, and the largest holders that make no progress are closed. Knows nothing of what is held.
"""

# Bytes that a connection may take whatever others hold: objects of the connection, of its request and of the
# attempt for it, and its head or one read.
CONNECTION_BYTES = 28_672
SMALL_HOLDING = 4_096  # bytes up to which a request counts as small
USABLE_SHARE = 0.8  # of the process's memory limit beyond its idle size; fragmentation takes the rest
SHARED_PART = 0.4  # of that is shared by all connections; the other part is theirs by their number
SMALL_REQUESTS_PART = 1.25  # of the shared bytes: up to this, small requests are still taken
LOW_WATER = 0.8  # of the shared bytes: under this, reading resumes
MIN_SHARED_BYTES = 1 << 20
MIN_CONNECTIONS = 64  # also where the limit is too low for an idle process
LARGE_PIECE, SMALL_PIECE = 32_768, 8_192  # bytes read at a time, and buffered before a source is paused


class MemoryBudget:
    """What the connections of a process hold against the memory that they may use.

    A holder has `held_bytes()` and the attribute `charged`, initially 0.
    """

    __slots__ = ('shared', 'connections', 'total', 'peak', 'paused', 'resume')

    def __init__(self, usable, connections):
        self.total = self.peak = 0  # bytes held now, and at most so far
        self.paused = {}  # holders whose reading is paused for want of memory, in order
        self.resume = None  # called without arguments when reading may resume
        self.resize(usable, connections)

    def resize(self, usable, connections):
        """Set the limits.

        usable: bytes that the process may use beyond what it uses idle; connections: of clients, at most.
        """
        usable = max(0, int(usable * USABLE_SHARE))
        most = int(usable * (1 - SHARED_PART)) // CONNECTION_BYTES
        self.connections = min(connections, max(MIN_CONNECTIONS, most))
        self.shared = max(MIN_SHARED_BYTES, usable - self.connections * CONNECTION_BYTES)

    def update(self, holder):
        """Charge a holder with what it holds now."""
        held = holder.held_bytes()
        self.total += held - holder.charged
        holder.charged = held
        self.peak = max(self.peak, self.total)
        if self.paused and self.total < LOW_WATER * self.shared:
            self.resume()

    def release(self, holder):
        """Charge a holder with nothing, as it ends."""
        self.total -= holder.charged
        holder.charged = 0
        self.paused.pop(holder, None)
        if self.paused and self.total < LOW_WATER * self.shared:
            self.resume()

    @property
    def exhausted(self):
        """Whether the connections hold all that they may share."""
        return self.total >= self.shared

    @property
    def overdrawn(self):
        """Whether the connections hold so much that some have to give it up."""
        return self.total >= SMALL_REQUESTS_PART * self.shared

    def admits(self, holder):
        """Return whether a new request may be taken from a holder. Small ones are refused last."""
        return not (self.overdrawn if holder.held_bytes() <= SMALL_HOLDING else self.exhausted)

    def must_wait(self, holder):
        """Return whether a holder may not read any further now."""
        return self.exhausted and holder.held_bytes() > SMALL_HOLDING

    def pause(self, holder):
        """Record that a holder's reading is paused until others hold less."""
        self.paused[holder] = True

    def take_paused(self):
        """Return the holders whose reading may resume now, and forget them."""
        holders = list(self.paused)
        self.paused.clear()
        return holders

    @property
    def piece_size(self):
        """Bytes to read at a time from a connection whose body is streamed."""
        return SMALL_PIECE if self.exhausted else LARGE_PIECE
