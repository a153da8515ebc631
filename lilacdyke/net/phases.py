"""Phases of client connections and the time limits for each.

Keeps connections ordered by the time they entered their phase, and closes overdue ones to free slots.
Never closes a connection on which an answer is due or a request lies unread.
"""

from .sockets import nothing_unread, waiting

# FRESH: nothing received yet. IDLE: between requests. RECEIVING: a request is incomplete. ASKED: a request
# is being answered. CLOSING: the last answer is written. STREAMING: a large answer is being sent.
FRESH, IDLE, RECEIVING, ASKED, CLOSING, STREAMING = (
    'fresh',
    'resting',
    'half',
    'asked',
    'parting',
    'streaming',
)
# Time limits in ticks for each phase: normally, while over half of the slots are taken, and while no
# connection is accepted. Phases are searched for connections to close in this order.
PHASE_LIMITS = {
    FRESH: (15_000, 500, 500),
    CLOSING: (10_000, 1_000, 1_000),
    RECEIVING: (24_000, 24_000, 5_000),
    STREAMING: (100_000, 100_000, 100_000),
    IDLE: (25_000, 1_000, 1_000),
}
NORMAL, BUSY, FULL = range(3)  # index of the limit in force
# Traffic moves `since` in these phases, so they are not ordered by it.
TRAFFIC_TIMED = (RECEIVING, STREAMING)
MEMORY_STALL = 5_000  # ticks without progress after which a connection is closed for want of memory
LOOK = 1_000  # ticks between checks for overdue connections
CHECK_INTERVAL_FULL = LOOK // 10  # the same while no connection is accepted
MAX_BODY_PAUSE = PHASE_LIMITS[RECEIVING][NORMAL]  # ticks between two pieces of a request
MAX_WRITE_STALL = PHASE_LIMITS[STREAMING][NORMAL]  # ticks until the peer has to accept more data


class Phases:
    """Client connections by phase, each phase ordered by entry time."""

    def __init__(self, clock):
        self.clock = clock
        self.by_phase = {phase: {} for phase in (*PHASE_LIMITS, ASKED)}

    def put(self, client, phase, since):
        """Move a connection to a phase, with the time since which it counts as there."""
        if client.phase != phase:
            if client.phase:
                del self.by_phase[client.phase][client.number]
            self.by_phase[phase][client.number] = client
            client.phase = phase
        client.since = since

    def remove(self, client):
        """Remove a connection that has ended."""
        del self.by_phase[client.phase][client.number]
        client.phase = None

    def count(self, phase):
        """Return the number of connections in a phase."""
        return len(self.by_phase[phase])

    def listed(self, phase):
        """Return a snapshot of the connections in a phase."""
        return list(self.by_phase[phase].values())

    def make_room(self, places, pressure):
        """Close connections that are overdue at this pressure (NORMAL, BUSY, FULL).

        Idle ones come last, and only until so many slots are free. Guards against clients that never
        send anything, send partial requests, or never close.
        """
        now, freed = self.clock(), 0
        for phase, stays in PHASE_LIMITS.items():
            for client in self.listed(phase):
                if now < client.since + stays[pressure] or phase == IDLE and freed >= places:
                    if phase in TRAFFIC_TIMED:
                        continue
                    break
                freed += self.overdue(client, now)

    def free_memory(self, memory):
        """End requests and answers without progress, the largest first, until memory is free again.

        Guards against clients that stop half way and hold what ordinary requests need.
        """
        latest = self.clock() - MEMORY_STALL
        stalled = [
            client for phase in TRAFFIC_TIMED for client in self.listed(phase) if client.since <= latest
        ]
        for client in sorted(stalled, key=lambda client: client.charged, reverse=True):
            if not memory.exhausted:
                return
            client.give_up_memory()

    def close_idle(self, fresh_since, resting_since):
        """Close connections without a request whose phase began at or before these times."""
        for phase, latest in ((FRESH, fresh_since), (IDLE, resting_since)):
            for client in self.listed(phase):
                if client.since <= latest:
                    self.overdue(client, self.clock())

    def overdue(self, client, now):
        """Handle an overdue connection; return whether it frees its slot."""
        return OVERDUE_HANDLERS[client.phase](client, now)


def closing_overdue(client, now):
    """Close a connection whose client has not closed it after the last answer."""
    # A client that is still sending may read its answer only after that.
    still_sending = client.discards_body and now < client.since + MAX_BODY_PAUSE
    still_flushing = waiting(client.transport) and now < client.since + MAX_WRITE_STALL
    if still_sending or still_flushing:
        return False
    client.finish_close()
    return True


def streaming_overdue(client, now):
    """Abort a connection whose client has stopped reading a large answer.

    A stalled server is handled by the answer's own deadline.
    """
    download = client.download
    if download and download.until is not None and not download.flow.paused:
        return False
    client.listener.node.count('not_read')
    client.closed_for = 'client stopped reading'
    client.transport.abortConnection()
    return True


def receiving_overdue(client, now):
    """Refuse a request that has not arrived completely in time.

    Unread bytes grant one reprieve per request, as a client that trickles may always have some unread.
    """
    upload = client.upload
    if upload and upload.reading_paused and now < client.since + MAX_WRITE_STALL:
        return False  # reading is paused on this side
    reprieved, client.reprieved = client.reprieved, True
    if not reprieved and not nothing_unread(client.transport):
        return False
    client.cancel_request()
    client.refuse(408, 'the request did not come')
    return True


def idle_overdue(client, now):
    """Close a connection that has no request in progress, unless one lies unread."""
    if not nothing_unread(client.transport):
        return False
    client.close_unused()
    return True


OVERDUE_HANDLERS = {
    FRESH: idle_overdue,
    IDLE: idle_overdue,
    CLOSING: closing_overdue,
    STREAMING: streaming_overdue,
    RECEIVING: receiving_overdue,
}
